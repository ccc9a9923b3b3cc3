"""The journal of requests that may not be repeated.

A key hashes to a slot, a slot is one object, and an entry may forward a
request only after its conditional update of the slot wrote `started` for the
key. The version check is the fence: whoever was paused meanwhile loses the
update, finds the record and does not run the request. Which entry usually
writes a slot is a matter of speed, not of safety.

Keys are kept as digests, so the object says nothing about callers.
"""

import dataclasses
import enum
import hashlib

import pydantic
import xxhash

from wayslip import refusals

_OVERHEAD_BYTES = 320


class State(enum.StrEnum):
    """How far a request is known to have come."""

    STARTED = "started"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Answer:
    """A kept answer; body is None when it was too large to keep."""

    # Pydantic configuration: JSON has no bytes, so they are written as base64.
    __pydantic_config__ = pydantic.ConfigDict(
        ser_json_bytes="base64", val_json_bytes="base64"
    )

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True)
class Record:
    """What is known of one key.

    Attributes:
        key: Digest of caller and key.
        fingerprint: Digest of the request, to catch a reused key.
        runner: Incarnation of the entry that may run it.
        at: When it was last changed, seconds of the wall clock.
    """

    key: str
    fingerprint: str
    state: State
    runner: str
    at: float
    answer: Answer | None = None

    @property
    def size(self) -> int:
        """About how many bytes it takes in the object."""
        kept = self.answer.body if self.answer else None
        return _OVERHEAD_BYTES + len(kept or b"") * 4 // 3


@dataclasses.dataclass(frozen=True)
class Segment:
    """The records of one slot, by key digest."""

    slot: int
    records: dict[str, Record] = dataclasses.field(default_factory=dict)

    @property
    def size(self) -> int:
        """About how many bytes the segment takes."""
        return sum(r.size for r in self.records.values())

    def start(
        self, key: str, fingerprint: str, runner: str, now: float
    ) -> "Segment | Record | refusals.Refusal":
        """Returns the segment with a key started, or why it may not start.

        A `Record` comes back when the key is known already: its result, or
        that it runs elsewhere. Only a key known not to have run starts again.
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
        """Returns the segment with a runner's result for a key."""
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

        Where it is still over the limit, kept answers go, oldest first; the
        records themselves stay, so a key is never forgotten early.
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
        """Whether one more record would go over the limit."""
        return self.size + _OVERHEAD_BYTES > limit

    def _with(self, record: Record) -> "Segment":
        return dataclasses.replace(
            self, records={**self.records, record.key: record}
        )


def digest_key(caller: str, key: str) -> str:
    """Returns the digest under which a caller's key is kept."""
    text = f"{caller}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def digest_request(method: str, path: str, body: bytes) -> str:
    """Returns a digest of what a request asks for."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()


def choose_slot(key_digest: str, slots: int) -> int:
    """Returns the slot of a key digest."""
    return xxhash.xxh64_intdigest(key_digest.encode()) % slots
