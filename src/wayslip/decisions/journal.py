"""Journal of requests that must run at most once.

A key hashes to a slot, and a slot is one stored object. An entry may forward a
request only after its conditional update of the slot wrote `started` for the
key. The version check is the fence: an entry that was paused meanwhile fails
to update the slot, finds the record and does not run the request. Which entry
usually writes a slot matters for speed, not for safety.

Keys are stored as digests, so the object reveals nothing about callers.
"""

import dataclasses
import enum
import hashlib

import pydantic
import xxhash

from wayslip import refusals

# Approximate size of a record without its answer's body.
_OVERHEAD_BYTES = 320


class State(enum.StrEnum):
    """The known state of a request."""

    STARTED = "started"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Answer:
    """A stored answer; body is None if it was too large to keep."""

    # JSON has no byte strings, so pydantic writes them as base64.
    __pydantic_config__ = pydantic.ConfigDict(
        ser_json_bytes="base64", val_json_bytes="base64"
    )

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True)
class Record:
    """The record of one key.

    Attributes:
        key: Digest of caller and key.
        fingerprint: Digest of the request, to detect a reused key.
        state: State of the request.
        runner: Incarnation of the entry that may run it.
        at: When the record last changed, seconds of the wall clock.
        answer: The stored answer, None without one.
    """

    key: str
    fingerprint: str
    state: State
    runner: str
    at: float
    answer: Answer | None = None

    @property
    def size(self) -> int:
        """Approximate size in the stored object, bytes."""
        kept = self.answer.body if self.answer else None
        return _OVERHEAD_BYTES + len(kept or b"") * 4 // 3


@dataclasses.dataclass(frozen=True)
class Segment:
    """The records of one slot, by key digest.

    Attributes:
        slot: Number of the slot.
        records: Records by key digest.
    """

    slot: int
    records: dict[str, Record] = dataclasses.field(default_factory=dict)

    @property
    def size(self) -> int:
        """Approximate size of all records, bytes."""
        return sum(r.size for r in self.records.values())

    def start(
        self, key: str, fingerprint: str, runner: str, now: float
    ) -> "Segment | Record | refusals.Refusal":
        """Returns the segment with a key started, or why it may not start.

        A `Record` is returned if the key is already known: it has the result,
        or shows that the request is running or that its result is unknown. Of
        known keys, only one whose request has not run starts again.
        """
        known = self.records.get(key)
        if known is not None and known.fingerprint != fingerprint:
            return refusals.Refusal(
                refusals.Reason.KEY_REUSED,
                "this Idempotency-Key was used for another request;"
                " use a new key for a new request",
            )
        if known is not None and known.state is not State.NOT_RUN:
            return known
        record = Record(key, fingerprint, State.STARTED, runner, now)
        return self._with(record)

    def finish(
        self,
        key: str,
        runner: str,
        state: State,
        answer: Answer | None,
        now: float,
    ) -> "Segment":
        """Returns the segment with a runner's result for a key.

        The segment is unchanged if the key belongs to another runner or
        already has a final state.
        """
        known = self.records.get(key)
        if known is None or known.runner != runner:
            return self
        if known.state in (State.DONE, State.NOT_RUN):
            return self
        return self._with(
            dataclasses.replace(known, state=state, answer=answer, at=now)
        )

    def expire(self, now: float, retention: float, limit: int) -> "Segment":
        """Returns the segment without records past their retention.

        If it is still over the limit, the bodies of stored answers are
        dropped, oldest first. The records themselves stay, so that a key is
        kept for the whole retention.
        """
        records = {
            k: r for k, r in self.records.items() if now - r.at < retention
        }
        excess = sum(r.size for r in records.values()) - limit
        for record in sorted(records.values(), key=lambda r: r.at):
            if excess <= 0:
                break
            if record.answer is None or record.answer.body is None:
                continue
            bare = dataclasses.replace(record.answer, body=None)
            records[record.key] = dataclasses.replace(record, answer=bare)
            excess -= record.size - records[record.key].size
        return dataclasses.replace(self, records=records)

    def is_full(self, limit: int) -> bool:
        """Whether one more record would exceed the limit."""
        return self.size + _OVERHEAD_BYTES > limit

    def _with(self, record: Record) -> "Segment":
        return dataclasses.replace(
            self, records={**self.records, record.key: record}
        )


def digest_key(caller: str, key: str) -> str:
    """Returns the digest under which a caller's key is stored."""
    text = f"{caller}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def digest_request(method: str, path: str, body: bytes) -> str:
    """Returns the digest of a request, its fingerprint."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()


def choose_slot(key_digest: str, slots: int) -> int:
    """Returns the slot of a key digest."""
    return xxhash.xxh64_intdigest(key_digest.encode()) % slots
