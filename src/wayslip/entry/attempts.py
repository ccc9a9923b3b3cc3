"""Attempts at one request, limited by the entry's retry budget."""

from wayslip import clock
from wayslip import metrics as metrics_module
from wayslip import settings as settings_module
from wayslip.decisions import retry
from wayslip.entry import callers


class Attempts:
    """Decides after each failed attempt what follows. Not thread-safe."""

    def __init__(
        self,
        in_flight: callers.InFlight,
        limits: settings_module.Admission,
        metrics: metrics_module.Metrics,
        may_repeat: bool,
        deadline: float,
    ) -> None:
        """Counts the first attempt towards the retry budget.

        Args:
            in_flight: Holds the retry budget.
            limits: Limits on attempts.
            metrics: Counts retries.
            may_repeat: Whether an attempt that may have run can be retried.
            deadline: Seconds of the monotonic clock.
        """
        self._in_flight = in_flight
        self._limits = limits
        self._metrics = metrics
        self._deadline = deadline
        self._progress = retry.Progress(may_repeat)
        in_flight.earn_retry()

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt so far may have run."""
        return self._progress.may_have_run

    @property
    def seconds_left(self) -> float:
        """Seconds until the deadline."""
        return self._deadline - clock.now()

    def fail(self, failure: retry.Failure) -> retry.Verdict:
        """Records a failed attempt and returns what follows.

        A retry is taken from the retry budget; without budget there is none.
        """
        self._progress = self._progress.fail(failure)
        verdict = self._judge(has_budget=True)
        if verdict is not retry.Verdict.RETRY:
            return verdict
        if not self._in_flight.spend_retry():
            return self._judge(has_budget=False)
        self._metrics.count("retries")
        return verdict

    def _judge(self, has_budget: bool) -> retry.Verdict:
        return self._progress.judge(
            self._limits.max_attempts, self.seconds_left, has_budget
        )
