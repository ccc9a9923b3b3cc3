"""Whether an endpoint may get new requests.

The platform's list lags and can be unavailable, so an endpoint's own refusals
and reports and the notices of peers count too. The first sign that an endpoint
is leaving takes effect. The endpoint becomes usable again only after a report,
requested after the last sign, in which it serves, and only if the platform's
list does not call it leaving.
"""

import dataclasses
import enum


class LeavingSource(enum.StrEnum):
    """The source of a sign that an endpoint is leaving."""

    LIST = "list"
    REFUSAL = "refusal"
    REPORT = "report"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """The health of one endpoint. Times are seconds of one clock.

    Attributes:
        left_at: When the last sign of leaving was seen, None without one.
        sign: The source of that sign.
        listed_leaving: Whether the platform's list last called it leaving.
        failures: Connections refused or broken since the last report in
            which it serves.
    """

    left_at: float | None = None
    sign: LeavingSource | None = None
    listed_leaving: bool = False
    failures: int = 0

    @property
    def is_leaving(self) -> bool:
        """Whether there is a sign of leaving that no report has cleared."""
        return self.left_at is not None

    @property
    def is_usable(self) -> bool:
        """Whether the endpoint may get new requests."""
        return self.left_at is None and self.failures == 0

    @property
    def is_suspect(self) -> bool:
        """Whether it may get only requests that no usable endpoint can serve.

        After a single failure the endpoint may still work. Refusing requests
        that only it can serve would make a model unavailable until the next
        poll.
        """
        return self.left_at is None and self.failures == 1

    def leave(self, sign: LeavingSource, now: float) -> "Health":
        """Returns the health after a sign of leaving."""
        listed = self.listed_leaving or sign is LeavingSource.LIST
        return dataclasses.replace(
            self, left_at=now, sign=sign, listed_leaving=listed
        )

    def note_listed_live(self) -> "Health":
        """Returns the health after the platform listed the endpoint as live.

        The list lags, so this alone does not make the endpoint usable.
        """
        return dataclasses.replace(self, listed_leaving=False)

    def fail(self) -> "Health":
        """Returns the health after a connection failed."""
        return dataclasses.replace(self, failures=self.failures + 1)

    def confirm_serving(self, asked_at: float) -> "Health":
        """Returns the health after a report that the endpoint serves.

        Args:
            asked_at: When the report was requested. A report that was
                requested before the last sign does not clear it.
        """
        fresh = dataclasses.replace(self, failures=0)
        if self.left_at is None:
            return fresh
        if self.listed_leaving or asked_at <= self.left_at:
            return fresh
        return dataclasses.replace(fresh, left_at=None, sign=None)
