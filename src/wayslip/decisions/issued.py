"""Idempotency keys that an entry issues and that only its process can run.

These keys need no store. Only the process that issued a key can start it, so
pauses, network partitions and outages of the object API can not cause a second
run. In return, a key whose issuer has ended stays `unknown`.
docs/design/at-most-once.md compares this with the journal.
"""

import dataclasses
import enum

from wayslip import refusals


class State(enum.StrEnum):
    """The state of an issued key."""

    ISSUED = "issued"
    STARTED = "started"
    NOT_RUN = "not-run"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass
class Issued:
    """An issued key.

    Attributes:
        expires: When it expires, seconds of the issuer's clock.
        state: Its state.
        fingerprint: Digest of the request that used it, empty before.
        answer: The result of the request, if it is known.
    """

    expires: float
    state: State = State.ISSUED
    fingerprint: str = ""
    answer: object = None


class IssuedTable:
    """The keys that one process issued.

    Not thread-safe: the caller holds a lock around calls.

    Args:
        limit: Maximum number of keys that are kept.
        lifetime: Seconds after which a key expires.
    """

    def __init__(self, limit: int, lifetime: float) -> None:
        self._limit = limit
        self._lifetime = lifetime
        self._next = 0
        self._keys: dict[int, Issued] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def issue(self, count: int, now: float) -> range | refusals.Refusal:
        """Returns the serial numbers of new keys, or a refusal."""
        self._expire(now)
        if len(self._keys) + count > self._limit:
            return refusals.Refusal(
                refusals.Reason.OVERLOADED,
                "too many issued keys are pending; use those, or retry later",
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
        """Starts a key that has not run; returns a copy of its record.

        The returned state is STARTED only for the one call that may run the
        request; other calls get UNKNOWN until that one has finished.
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
        """Records the result of a started key."""
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
