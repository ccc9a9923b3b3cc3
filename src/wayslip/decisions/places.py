"""Places at brittle endpoints, which crash if they refuse too many requests.

Load pattern: an endpoint announces that it crashes once it turns more than a
few requests away in a second, and lets fewer wait than before. Each of many
instances knows the requests of the others as of some time ago, so all may fill
the last slot at once.

The lease holder therefore counts every request that is sent to such an
endpoint, from the grant of a place to its return. How many places there are is
learned: one more than the endpoint surely had at once without a refusal, up to
its slots, so that only the place added last can be refused. The endpoint states
what it has, or the times of the requests show it; see `concurrency`. A refusal
lowers the number at once, before the next place is granted, so that a second
one does not follow.

Times are steady seconds.
"""

import dataclasses

from wayslip.decisions import fleet
from wayslip.decisions import place_ledger

# Places regained a second after a refusal; a wrong guess costs one more.
_REGAIN_PER_SECOND = 0.5
# An instance that neither reported nor asked for this long no longer counts.
_SILENCE_SECONDS = 2.0
# A holder knows what the others have sent once all have reported.
_FIRST_REPORTS_SECONDS = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Depth:
    """How many requests an endpoint takes, as a refusal showed.

    Attributes:
        places: Requests that it had when it refused another one.
        at: When that was.
    """

    places: int
    at: float

    def find(self, slots: int, now: float) -> int:
        """Returns the places that there may be now."""
        regained = int(max(now - self.at, 0.0) * _REGAIN_PER_SECOND)
        return max(min(self.places + regained, slots), 1)


class Places:
    """The lease holder's count of places. It does no I/O."""

    def __init__(self) -> None:
        self._ledgers: dict[fleet.Incarnation, place_ledger.Ledger] = {}
        # What instances reported, by endpoint; kept for all endpoints, since
        # any may announce that it is brittle.
        self._usages: dict[str, dict[str, int]] = {}
        # When each instance last reported or asked.
        self._heard: dict[str, float] = {}
        self._began = 0.0

    def begin(self, now: float) -> None:
        """Begins a term, in which nothing is known of earlier grants."""
        self._ledgers.clear()
        self._usages.clear()
        self._heard.clear()
        self._began = now

    def take(
        self,
        start: fleet.Incarnation,
        question: place_ledger.Question,
        now: float,
    ) -> place_ledger.Verdict:
        """Grants a place, or says when one may be free.

        Args:
            start: The endpoint's incarnation.
            question: The request for a place.
            now: Steady seconds.
        """
        left = self._began + _FIRST_REPORTS_SECONDS - now
        if left > 0:
            return place_ledger.Verdict(False, left)
        self._heard[question.instance] = now
        self._forget_silent(now)
        ledger = self._find(start)
        if question.number and ledger.is_granted(
            question.instance, question.number
        ):
            # The answer was lost.
            return place_ledger.Verdict(True)
        if ledger.has_place(question.places):
            ledger.waiting.pop((question.instance, question.number), None)
            ledger.grant(question, now)
            return place_ledger.Verdict(True)
        wait = ledger.estimate_wait(now)
        if question.is_first and not ledger.is_waiting(question):
            ledger.refused.append(now)
        return place_ledger.Verdict(
            False, wait, ledger.add_waiting(question, now)
        )

    def grant_waiting(
        self, now: float
    ) -> list[tuple[fleet.Incarnation, place_ledger.Question]]:
        """Grants free places to the questions that wait for one.

        Returns:
            The questions that were granted, with their endpoint.
        """
        if now < self._began + _FIRST_REPORTS_SECONDS:
            return []
        self._forget_silent(now)
        return [
            (start, question)
            for start, ledger in self._ledgers.items()
            if ledger.waiting
            for question in ledger.grant_waiting(now)
        ]

    def give_back(
        self, start: fleet.Incarnation, place: place_ledger.Return, now: float
    ) -> None:
        """Records that a request left the endpoint, or was not sent."""
        self._find(start).apply_return(place, now)

    def note_concurrent(
        self, start: fleet.Incarnation, count: int, age: float, now: float
    ) -> None:
        """Records how many requests an endpoint stated to have at once.

        Args:
            start: The endpoint's incarnation.
            count: Running and waiting requests.
            age: Seconds since the request was sent whose answer states it.
            now: Steady seconds.
        """
        self._find(start).note_concurrent(count, now - age, now)

    def reconcile(
        self, instance: str, usages: dict[str, int], now: float
    ) -> None:
        """Applies an instance's report: requests in flight by endpoint."""
        for start, ledger in self._ledgers.items():
            count = usages.get(start.endpoint, 0)
            ledger.apply_report(instance, count, now)
        self._usages[instance] = usages
        self._heard[instance] = now

    def _forget_silent(self, now: float) -> None:
        """Removes instances that have ended with the places they held."""
        limit = now - _SILENCE_SECONDS
        for name in [n for n, at in self._heard.items() if at < limit]:
            del self._heard[name]
            self._usages.pop(name, None)
            for ledger in self._ledgers.values():
                ledger.granted.pop(name, None)
                ledger.reported.pop(name, None)

    def forget(self, endpoint: str) -> None:
        """Removes an endpoint that is gone."""
        for start in [s for s in self._ledgers if s.endpoint == endpoint]:
            del self._ledgers[start]

    def _find(self, start: fleet.Incarnation) -> place_ledger.Ledger:
        ledger = self._ledgers.get(start)
        if ledger is None:
            ledger = place_ledger.Ledger(
                {
                    name: usages.get(start.endpoint, 0)
                    for name, usages in self._usages.items()
                }
            )
            self._ledgers[start] = ledger
        return ledger


def find_share(places: int, instances: int, draw: float) -> int:
    """Returns an instance's places while it does not hear the lease holder.

    The holder may grant places to others meanwhile, so that all shares together
    are half of the places.

    Args:
        places: How many places the endpoint has.
        instances: Number of instances.
        draw: A number from [0, 1), constant for an instance and endpoint.
    """
    share = places / max(instances, 1) / 2
    return int(share) if share >= 1 else int(draw < share)
