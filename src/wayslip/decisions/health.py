"""Whether an endpoint may get new work.

The platform's list lags and can be down, so an endpoint's own refusals and
reports and the word of peers count too. The first sign that it is leaving
wins. It returns only on proof: a report, taken after the sign, in which the
endpoint says that it serves, and a list that does not call it leaving.
"""

import dataclasses
import enum


class LeavingSource(enum.StrEnum):
    """Where the word of an endpoint's leaving came from."""

    LIST = "list"
    REFUSAL = "refusal"
    REPORT = "report"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """What is known of one endpoint. Times are seconds of one clock.

    Attributes:
        left_at: When the last sign of leaving was seen, None without one.
        sign: Where it came from.
        listed_leaving: What the platform's list said last.
        failures: Connections refused or broken since the last report.
    """

    left_at: float | None = None
    sign: LeavingSource | None = None
    listed_leaving: bool = False
    failures: int = 0

    @property
    def is_leaving(self) -> bool:
        """Whether there is a sign of leaving that no proof took back."""
        return self.left_at is not None

    @property
    def is_usable(self) -> bool:
        """Whether the endpoint may get new work."""
        return self.left_at is None and self.failures == 0

    @property
    def is_suspect(self) -> bool:
        """Whether it may get work only where no usable endpoint can do it.

        One failure alone may be a late report. Refusing what only this
        endpoint can do would make a model unreachable until the next poll.
        """
        return self.left_at is None and self.failures == 1

    def leave(self, sign: LeavingSource, now: float) -> "Health":
        """Returns the health after a sign of leaving."""
        listed = self.listed_leaving or sign is LeavingSource.LIST
        return dataclasses.replace(
            self, left_at=now, sign=sign, listed_leaving=listed
        )

    def note_listed_live(self) -> "Health":
        """Returns the health after the platform's list called it live.

        The list lags, so this alone does not bring the endpoint back.
        """
        return dataclasses.replace(self, listed_leaving=False)

    def fail(self) -> "Health":
        """Returns the health after a connection failed."""
        return dataclasses.replace(self, failures=self.failures + 1)

    def confirm_serving(self, asked_at: float) -> "Health":
        """Returns the health after a report in which the endpoint serves.

        Args:
            asked_at: When the report was asked for, so that an answer under
                way while a sign came in proves nothing.
        """
        fresh = dataclasses.replace(self, failures=0)
        if self.left_at is None:
            return fresh
        if self.listed_leaving or asked_at <= self.left_at:
            return fresh
        return dataclasses.replace(fresh, left_at=None, sign=None)
