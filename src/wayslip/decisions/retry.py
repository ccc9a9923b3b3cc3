"""Decides whether to retry after an attempt at a request failed.

Retries draw on a budget that is filled by first attempts, so that failures do
not multiply the load; see "Decisions to measure" in the design notes.
"""

import dataclasses
import enum

_BUDGET_CAP = 10.0


class Failure(enum.StrEnum):
    """How an attempt failed, by its possible effect at the endpoint."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    UNCLEAR = "unclear"


class Verdict(enum.StrEnum):
    """The decision after a failed attempt."""

    RETRY = "retry"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """A retry budget, in units of one retry.

    Attributes:
        fraction: Retries earned by each first attempt.
        tokens: Retries available now.
    """

    fraction: float
    tokens: float = _BUDGET_CAP

    def earn(self) -> "Budget":
        """Returns the budget after a first attempt."""
        tokens = min(self.tokens + self.fraction, _BUDGET_CAP)
        return dataclasses.replace(self, tokens=tokens)

    def spend(self) -> "Budget | None":
        """Returns the budget after a retry, None if it is exhausted."""
        if self.tokens < 1:
            return None
        return dataclasses.replace(self, tokens=self.tokens - 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The state of a request after its attempts so far.

    Attributes:
        may_repeat: Whether it may safely run twice.
        attempts: Number of failed attempts.
        may_have_run: Whether the outcome of an attempt is unclear.
    """

    may_repeat: bool
    attempts: int = 0
    may_have_run: bool = False

    def fail(self, failure: Failure) -> "Progress":
        """Returns the progress after one more failed attempt."""
        unclear = failure is Failure.UNCLEAR
        return dataclasses.replace(
            self,
            attempts=self.attempts + 1,
            may_have_run=self.may_have_run or unclear,
        )

    def judge(
        self, max_attempts: int, seconds_left: float, has_budget: bool
    ) -> Verdict:
        """Returns the next action."""
        if self.may_have_run and not self.may_repeat:
            return Verdict.UNKNOWN
        can_retry = (
            self.attempts < max_attempts and seconds_left > 0 and has_budget
        )
        if can_retry:
            return Verdict.RETRY
        return Verdict.UNKNOWN if self.may_have_run else Verdict.NOT_RUN
