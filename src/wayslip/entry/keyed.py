"""Runs requests that may not be repeated, at most once for each key.

Each key has an owner among the entries, to which the others forward its
requests, so that retries through any entry join the first call and get its
complete answer. Ownership alone does not guarantee at most one run. That is
guaranteed by a record that is written conditionally before the request runs
(`Journal`) or, for an issued key, by the memory of the one process that may run
it.

The outcome `not-run` refers to the key and not to a single call, so it is
returned only if the record proves that no call with the key ran.
"""

from collections.abc import Callable
import concurrent.futures
import dataclasses
import logging
import queue
import threading
import time
from typing import Protocol
import uuid

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip import refusals
from wayslip import settings as settings_module
from wayslip import web
from wayslip.decisions import issued
from wayslip.decisions import journal
from wayslip.decisions import membership
from wayslip.decisions import ownership
from wayslip.entry import answers
from wayslip.entry import journal as journal_module
from wayslip.entry import tokens
from wayslip.peers import messages
from wayslip.peers import node as node_module

_LOG = logging.getLogger(__name__)
_CALL_MARGIN_SECONDS = 1.0
_MAX_DEFERRED = 10_000
_DEFERRED_RETRY_SECONDS = 1.0

Execute = Callable[[messages.Forward], messages.Forwarded]


class Guard(Protocol):
    """Decides whether this process may run a key's request."""

    def start(self) -> "Permit | messages.Forwarded":
        """Returns a permit to run, or an answer if the request may not run."""


class Permit(Protocol):
    """The right to run a key's request once."""

    def finish(self, answer: messages.Forwarded) -> None:
        """Records the answer for retries."""


@dataclasses.dataclass(frozen=True)
class _KeyedCall:
    """A keyed request, the digest of its key and its fingerprint."""

    request: messages.Forward
    digest: str
    fingerprint: str


class Keyed:
    """Serves requests with an Idempotency-Key. Safe for many threads."""

    def __init__(
        self,
        settings: settings_module.Settings,
        node: node_module.Node,
        journal_writer: journal_module.Journal,
        execute: Execute,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._settings = settings
        self._node = node
        self._journal = journal_writer
        self._execute = execute
        self._metrics = metrics
        self._token_key = settings.security.resume_key.encode()
        self._lock = threading.Lock()
        self._running: dict[str, concurrent.futures.Future] = {}
        limits = settings.journal
        self._issued = issued.IssuedTable(
            limits.issued_limit, limits.issued_seconds
        )
        self._deferred: queue.Queue[Callable[[], None]] = queue.Queue(
            _MAX_DEFERRED
        )
        threading.Thread(
            target=self._run_deferred, name="late-finish", daemon=True
        ).start()

    @property
    def active(self) -> int:
        """Number of keys whose requests run now."""
        return len(self._running)

    # Callers' requests

    def serve(self, request: messages.Forward) -> messages.Forwarded:
        """Answers a caller's request, through its key's owner.

        Raises:
            BadRequestError: The key was issued to another caller.
        """
        caller, key = request.caller, request.key
        token = tokens.open_key(self._token_key, caller, key)
        if token is not None:
            return self._serve_issued(request, token)
        if key.startswith("issued-"):
            raise errors.BadRequestError(
                "the issued key is not this caller's",
                "get keys from POST /v1/keys",
            )
        owner = self._find_owner(request)
        if owner is not None:
            try:
                return self._forward(owner, request)
            except errors.WayslipError as e:
                # Even if the owner runs the request, the journal prevents a
                # second run.
                logs.event(
                    _LOG, "owner_lost", owner=owner.name, reason=e.reason
                )
        return self.serve_here(request)

    def _find_owner(
        self, request: messages.Forward
    ) -> membership.Member | None:
        digest = journal.digest_key(request.caller, request.key)
        slot = journal.choose_slot(digest, self._settings.journal.slots)
        names = self._node.live_names(membership.Role.ENTRY)
        owner = ownership.find_owner(f"slot-{slot}", names)
        if owner is None or owner == self._node.identity.name:
            return None
        return self._node.find(owner)

    def _forward(
        self, member: membership.Member, request: messages.Forward
    ) -> messages.Forwarded:
        timeout = request.seconds_left + _CALL_MARGIN_SECONDS
        self._metrics.count("keyed_forwarded")
        return self._node.call(member, request, messages.Forwarded, timeout)

    def serve_here(self, request: messages.Forward) -> messages.Forwarded:
        """Answers a request in this process; retries of its key share a run."""
        digest = journal.digest_key(request.caller, request.key)
        call = _KeyedCall(request, digest, _fingerprint(request))
        token = tokens.open_key(self._token_key, request.caller, request.key)
        if token is not None:
            guard: Guard = _IssuedGuard(self, token.serial, call.fingerprint)
        else:
            guard = _JournalGuard(self, call)
        return self._join(call, guard)

    def _join(self, call: _KeyedCall, guard: Guard) -> messages.Forwarded:
        with self._lock:
            future = self._running.get(call.digest)
            is_first = future is None
            if future is None:
                if len(self._running) >= self._settings.limits.keyed_in_flight:
                    return _answer_unknown("too many keyed requests at once")
                future = concurrent.futures.Future()
                self._running[call.digest] = future
        if not is_first:
            return self._wait(call, future)
        try:
            answer = self._run(call, guard)
            future.set_result((call.fingerprint, answer))
            return answer
        except BaseException as e:
            future.set_exception(e)
            raise
        finally:
            with self._lock:
                del self._running[call.digest]

    def _wait(
        self, call: _KeyedCall, future: concurrent.futures.Future
    ) -> messages.Forwarded:
        self._metrics.count("keyed_joined")
        try:
            fingerprint, answer = future.result(call.request.seconds_left)
        except concurrent.futures.TimeoutError:
            return _answer_unknown(
                "the first call with this key is still running"
            )
        if fingerprint != call.fingerprint:
            return _answer_reused()
        return answer

    def _run(self, call: _KeyedCall, guard: Guard) -> messages.Forwarded:
        permit = guard.start()
        if isinstance(permit, messages.Forwarded):
            return permit
        try:
            answer = self._execute(call.request)
        except errors.BadRequestError as e:
            answer = _forwarded(
                web.Answer(400, str(e).encode(), "text/plain"), web.NOT_RUN
            )
        except Exception:
            _LOG.exception("keyed_request_failed")
            answer = _answer_unknown("the entry failed while the request ran")
        self._metrics.count("keyed", outcome=answer.outcome)
        permit.finish(answer)
        return answer

    # Deferred journal writes

    def defer(self, task: Callable[[], None]) -> None:
        """Queues a write to be retried until the object API answers."""
        try:
            self._deferred.put_nowait(task)
        except queue.Full:
            # The record stays `started`, so later retries get `unknown`.
            self._metrics.count("keyed_results_lost")

    def _run_deferred(self) -> None:
        while True:
            task = self._deferred.get()
            while True:
                try:
                    task()
                    break
                except errors.ObjectUnavailableError:
                    time.sleep(_DEFERRED_RETRY_SECONDS)
                except errors.WayslipError:
                    break

    # Issued keys

    def issue(self, caller: str, count: int) -> list[str] | refusals.Refusal:
        """Returns new keys for a caller."""
        now = clock.now()
        with self._lock:
            serials = self._issued.issue(count, now)
        if isinstance(serials, refusals.Refusal):
            return serials
        member, _, boot = self._node.process.rpartition("#")
        expires = int(now + self._settings.journal.issued_seconds)
        return [
            tokens.seal_key(
                self._token_key,
                caller,
                tokens.IssuedKey(member, int(boot), serial, expires),
            )
            for serial in serials
        ]

    def _serve_issued(
        self, request: messages.Forward, token: tokens.IssuedKey
    ) -> messages.Forwarded:
        if f"{token.member}#{token.boot}" == self._node.process:
            return self.serve_here(request)
        member = self._node.find(token.member)
        gone = "the entry that issued the key has stopped or is unreachable"
        if member is None:
            return _answer_unknown(gone)
        try:
            return self._forward(member, request)
        except errors.WayslipError:
            return _answer_unknown(gone)

    def answer_forwarded(self, message: object) -> object:
        """Answers a request that a peer forwarded."""
        assert isinstance(message, messages.Forward)
        token = tokens.open_key(self._token_key, message.caller, message.key)
        if token is not None:
            issuer = f"{token.member}#{token.boot}"
            if issuer != self._node.process:
                return _answer_unknown(
                    "the entry that issued the key has stopped"
                )
        return self.serve_here(message)


@dataclasses.dataclass(frozen=True)
class _IssuedGuard:
    """Guards an issued key by this process's memory."""

    keyed: Keyed
    serial: int
    fingerprint: str

    def start(self) -> Permit | messages.Forwarded:
        """See `Guard`."""
        with self.keyed._lock:
            known = self.keyed._issued.start(
                self.serial, self.fingerprint, clock.now()
            )
        if isinstance(known, refusals.Refusal):
            if known.reason is refusals.Reason.KEY_REUSED:
                return _answer_reused()
            return _answer_unknown(known.detail)
        if known.state is issued.State.STARTED:
            return self
        if isinstance(known.answer, messages.Forwarded):
            return known.answer
        return _answer_unknown("an earlier call with this key is unclear")

    def finish(self, answer: messages.Forwarded) -> None:
        """See `Permit`."""
        state = {
            web.RAN: issued.State.DONE,
            web.NOT_RUN: issued.State.NOT_RUN,
        }.get(answer.outcome, issued.State.UNKNOWN)
        with self.keyed._lock:
            self.keyed._issued.finish(self.serial, state, answer)


@dataclasses.dataclass(frozen=True)
class _JournalGuard:
    """Guards a key by its record in the object API."""

    keyed: Keyed
    call: _KeyedCall

    def start(self) -> Permit | messages.Forwarded:
        """See `Guard`."""
        keyed = self.keyed
        runner = f"{keyed._node.process}/{uuid.uuid4().hex}"
        digest = self.call.digest
        try:
            record = keyed._journal.start(digest, self.call.fingerprint, runner)
            if _is_unsettled(record, runner):
                # The local copy may be out of date.
                record = keyed._journal.look_up(digest) or record
        except errors.ObjectUnavailableError as e:
            # This runner has not run the request and never will. The start may
            # have been written nevertheless, so `not-run` is recorded later.
            permit = _JournalPermit(keyed, digest, runner)
            keyed.defer(lambda: permit.write(journal.State.NOT_RUN, None))
            return _answer_unknown(
                f"{e.reason}; an issued key (POST /v1/keys) needs no store"
            )
        if isinstance(record, refusals.Refusal):
            if record.reason is refusals.Reason.KEY_REUSED:
                return _answer_reused()
            return _answer_unknown(record.detail)
        if record.runner == runner:
            return _JournalPermit(keyed, digest, runner)
        return self._answer_known(record)

    def _answer_known(self, record: journal.Record) -> messages.Forwarded:
        if record.state is journal.State.DONE and record.answer is not None:
            return _replay(record.answer)
        member = self.keyed._node.find(record.runner.partition("#")[0])
        if record.state is journal.State.STARTED and member is not None:
            is_other = member.process != self.keyed._node.process
            if is_other and record.runner.startswith(f"{member.process}/"):
                return self._ask_runner(member)
        return _answer_unknown("an earlier call with this key is unclear")

    def _ask_runner(self, member: membership.Member) -> messages.Forwarded:
        try:
            return self.keyed._forward(member, self.call.request)
        except errors.WayslipError:
            return _answer_unknown(
                "the entry that runs this key is unreachable"
            )


@dataclasses.dataclass(frozen=True)
class _JournalPermit:
    """The right to run a key's request, held by its record's runner."""

    keyed: Keyed
    digest: str
    runner: str

    def finish(self, answer: messages.Forwarded) -> None:
        """See `Permit`."""
        state = {
            web.RAN: journal.State.DONE,
            web.NOT_RUN: journal.State.NOT_RUN,
        }.get(answer.outcome, journal.State.UNKNOWN)
        limit = self.keyed._settings.journal.answer_bytes
        body = answer.body if len(answer.body) <= limit else None
        kept = journal.Answer(answer.status, answer.content_type, body)
        try:
            self.write(state, kept)
        except errors.ObjectUnavailableError:
            self.keyed.defer(lambda: self.write(state, kept))

    def write(
        self, state: journal.State, answer: journal.Answer | None
    ) -> None:
        """Writes the result to the record.

        Raises:
            ObjectUnavailableError: Whether it was written is unknown.
        """
        self.keyed._journal.finish(self.digest, self.runner, state, answer)


def _is_unsettled(
    record: journal.Record | refusals.Refusal, runner: str
) -> bool:
    return (
        isinstance(record, journal.Record)
        and record.runner != runner
        and record.state is not journal.State.DONE
    )


def _fingerprint(request: messages.Forward) -> str:
    path = f"{request.service}\0{request.path}"
    return journal.digest_request(request.method, path, request.body)


def _replay(answer: journal.Answer) -> messages.Forwarded:
    if answer.body is None:
        text = b'{"error": {"message": "it ran; its answer is not kept"}}'
        return messages.Forwarded(410, web.RAN, "application/json", text)
    return messages.Forwarded(
        answer.status, web.RAN, answer.content_type, answer.body
    )


def _forwarded(answer: web.Answer, outcome: str) -> messages.Forwarded:
    return messages.Forwarded(
        answer.status,
        outcome,
        answer.content_type,
        answer.body,
        float(answer.headers.get("Retry-After", 0)),
    )


def _answer_unknown(detail: str) -> messages.Forwarded:
    text = f"{detail}; retry with the same key to get the outcome"
    return _forwarded(answers.answer_unknown(text), web.UNKNOWN)


def _answer_reused() -> messages.Forwarded:
    refusal = refusals.Refusal(
        refusals.Reason.KEY_REUSED,
        "this Idempotency-Key was used for another request; use a new one",
    )
    return _forwarded(answers.answer_refusal(refusal), web.NOT_RUN)
