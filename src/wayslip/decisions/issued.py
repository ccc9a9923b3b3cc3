"""Keys that an entry issues and that only this process of it runs.

They need no store at all: the issuer's memory is the only place that could
start such a key, so a pause or a partition does no harm, and neither does an
outage of the object API. In return a key whose issuer is gone stays
`unknown`. docs/design/at-most-once.md compares this with the journal.
"""

import dataclasses
import enum

from wayslip import refusals


class State(enum.StrEnum):
    """How far an issued key has come."""

    ISSUED = "issued"
    STARTED = "started"
    NOT_RUN = "not-run"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass
class Issued:
    """A key that is out; expires is seconds of the issuer's clock."""

    expires: float
    state: State = State.ISSUED
    fingerprint: str = ""
    answer: object = None


class IssuedTable:
    """The keys one process issued; the caller holds a lock around calls."""

    def __init__(self, limit: int, lifetime: float) -> None:
        self._limit = limit
        self._lifetime = lifetime
        self._next = 0
        self._keys: dict[int, Issued] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def issue(self, count: int, now: float) -> range | refusals.Refusal:
        """Returns the serials of new keys."""
        self._expire(now)
        if len(self._keys) + count > self._limit:
            return refusals.Refusal(
                refusals.Reason.OVERLOADED,
                "too many issued keys are out; use those, or come back later",
                30.0,
            )
        serials = range(self._next, self._next + count)
        self._next += count
        for serial in serials:
            self._keys[serial] = Issued(now + self._lifetime)
        return serials

    def start(
        self, serial: int, fingerprint: str, now: float
    ) -> Issued | refusals.Refusal:
        """Starts a key that has not run; returns what is known of it.

        The state is STARTED on return only for the one call that may run it;
        another call finds UNKNOWN until the first has finished.
        """
        self._expire(now)
        known = self._keys.get(serial)
        if known is None:
            return refusals.Refusal(
                refusals.Reason.DEADLINE_PASSED,
                "the issued key has expired; whether it ran is not kept",
            )
        if known.fingerprint not in ("", fingerprint):
            return refusals.Refusal(
                refusals.Reason.KEY_REUSED,
                "this key was used for another request; use a new key",
            )
        if known.state in (State.ISSUED, State.NOT_RUN):
            known.state = State.STARTED
            known.fingerprint = fingerprint
            return dataclasses.replace(known)
        if known.state is State.STARTED:
            return dataclasses.replace(known, state=State.UNKNOWN)
        return dataclasses.replace(known)

    def finish(self, serial: int, state: State, answer: object) -> None:
        """Keeps what came of a key."""
        known = self._keys.get(serial)
        if known is not None and known.state is State.STARTED:
            known.state = state
            known.answer = answer

    def _expire(self, now: float) -> None:
        # Keys expire in the order they were issued.
        for serial in list(self._keys):
            known = self._keys[serial]
            if known.expires > now:
                break
            if known.state is State.STARTED:
                continue
            del self._keys[serial]
