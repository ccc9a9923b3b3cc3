"""Writes the journal of requests that may not be repeated.

Operations on one slot are queued while a write to it is in progress, and
written together in the next write, so the object API gets far fewer writes than
there are requests. After a conflict or an unanswered write, an operation is
applied again to newer content, so it has to recognise its own effect.
"""

from collections.abc import Callable
import concurrent.futures
import dataclasses
import threading
import time
from typing import Any

from wayslip import errors
from wayslip import metrics as metrics_module
from wayslip import refusals
from wayslip import settings as settings_module
from wayslip.decisions import journal
from wayslip.objects import client as client_module
from wayslip.objects import kinds

_MAX_BATCH = 256
_MAX_ATTEMPTS = 32


@dataclasses.dataclass(frozen=True)
class Applied:
    """A segment after an operation, and the operation's result."""

    segment: journal.Segment
    result: Any


Operation = Callable[[journal.Segment], Applied]


@dataclasses.dataclass
class _QueuedOperation:
    """An operation and the future of its result."""

    operation: Operation
    future: concurrent.futures.Future


class _Slot:
    """The queue of one journal slot and its last known content."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.lock = threading.Lock()
        self.queue: list[_QueuedOperation] = []
        self.is_writing = False
        self.stored: client_module.Stored[journal.Segment] | None = None


class Journal:
    """Reads and writes all journal slots. Safe for many threads."""

    def __init__(
        self,
        settings: settings_module.Journal,
        client: client_module.ObjectClient,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._settings = settings
        self._client = client
        self._metrics = metrics
        self._slots = [_Slot(n) for n in range(settings.slots)]

    def start(
        self, key: str, fingerprint: str, runner: str
    ) -> journal.Record | refusals.Refusal:
        """Records that a runner starts a key's request.

        Returns:
            The key's record, or why the journal cannot take it. The runner may
            run the request only if it is the record's runner; otherwise the key
            was already known.

        Raises:
            ObjectUnavailableError: Whether it was written is unknown.
        """

        def operation(segment: journal.Segment) -> Applied:
            known = segment.records.get(key)
            if known is not None and known.runner == runner:
                return Applied(segment, known)
            now = time.time()
            pruned = segment.expire(
                now, self._settings.retention, self._settings.segment_bytes
            )
            started = pruned.start(key, fingerprint, runner, now)
            if not isinstance(started, journal.Segment):
                return Applied(segment, started)
            if pruned.is_full(self._settings.segment_bytes):
                return Applied(segment, _refuse_full())
            return Applied(started, started.records[key])

        return self._submit(key, operation)

    def look_up(self, key: str) -> journal.Record | None:
        """Reads a key's record from the object API, None for an unknown key.

        Raises:
            ObjectUnavailableError: The object API did not answer.
        """
        slot = self._slots[journal.choose_slot(key, len(self._slots))]
        return self._read(slot).value.records.get(key)

    def finish(
        self,
        key: str,
        runner: str,
        state: journal.State,
        answer: journal.Answer | None,
    ) -> None:
        """Records the outcome of a key's request.

        Raises:
            ObjectUnavailableError: Whether it was written is unknown.
        """

        def operation(segment: journal.Segment) -> Applied:
            now = time.time()
            finished = segment.finish(key, runner, state, answer, now)
            return Applied(finished, None)

        self._submit(key, operation)

    def dump(self) -> dict[int, Any]:
        """Returns the slots that this entry has read or written, by number."""
        shown = {}
        for slot in self._slots:
            stored = slot.stored
            if stored is not None:
                shown[slot.number] = {
                    "version": stored.version,
                    "records": len(stored.value.records),
                    "bytes": stored.value.size,
                    "waiting": len(slot.queue),
                }
        return shown

    # Batched writes

    def _submit(self, key: str, operation: Operation) -> Any:
        slot = self._slots[journal.choose_slot(key, len(self._slots))]
        queued = _QueuedOperation(operation, concurrent.futures.Future())
        with slot.lock:
            slot.queue.append(queued)
            is_writer = not slot.is_writing
            slot.is_writing = slot.is_writing or is_writer
        if is_writer:
            self._write_all(slot)
        return queued.future.result()

    def _write_all(self, slot: _Slot) -> None:
        """Writes batches until the queue is empty.

        Only one thread at a time writes to a slot.
        """
        while True:
            with slot.lock:
                batch = slot.queue[:_MAX_BATCH]
                del slot.queue[:_MAX_BATCH]
                if not batch:
                    slot.is_writing = False
                    return
            try:
                results = self._write(slot, [w.operation for w in batch])
            except BaseException as e:
                for queued in batch:
                    queued.future.set_exception(e)
                continue
            for queued, result in zip(batch, results, strict=True):
                queued.future.set_result(result)

    def _write(self, slot: _Slot, batch: list[Operation]) -> list[Any]:
        for _ in range(_MAX_ATTEMPTS):
            stored = slot.stored or self._read(slot)
            segment = stored.value
            results = []
            for operation in batch:
                applied = operation(segment)
                segment = applied.segment
                results.append(applied.result)
            if segment is stored.value:
                return results
            try:
                slot.stored = self._client.update(
                    kinds.SEGMENT, stored, segment
                )
                self._metrics.count("journal_writes")
                self._metrics.count("journal_operations", len(batch))
                return results
            except errors.ObjectConflictError:
                slot.stored = None
            except errors.ObjectUnavailableError:
                # The write may have taken effect, so the content is read again.
                slot.stored = None
                self._read(slot)
        raise errors.ObjectUnavailableError(
            f"journal slot {slot.number} keeps changing under writes",
            "try again",
        )

    def _read(self, slot: _Slot) -> client_module.Stored[journal.Segment]:
        name = f"slot-{slot.number}"
        stored = self._client.find(kinds.SEGMENT, name)
        if stored is None:
            try:
                stored = self._client.create(
                    kinds.SEGMENT, name, journal.Segment(slot.number)
                )
            except errors.ObjectConflictError:
                stored = self._client.get(kinds.SEGMENT, name)
        slot.stored = stored
        return stored


def _refuse_full() -> refusals.Refusal:
    return refusals.Refusal(
        refusals.Reason.STORE_UNAVAILABLE,
        "the journal slot is full; raise journal.slots or shorten"
        " journal.retention",
        60.0,
    )
