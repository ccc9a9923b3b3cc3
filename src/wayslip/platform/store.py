"""Client for the platform's store, over HTTP on the event loop."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import json
import logging
from typing import Any
from typing import TypeVar
import urllib.parse
import zlib

from wayslip import clock
from wayslip import documents
from wayslip import errors
from wayslip import fields
from wayslip import logs
from wayslip.decisions import position
from wayslip.gateway import store
from wayslip.http1 import client
from wayslip.http1 import messages
from wayslip.http1 import whole

T = TypeVar("T")

_LOG = logging.getLogger(__name__)
_PREFIX = "/wayslip/objects/"
# The store usually answers in 4 ms; a call without a response after 200 times
# that has failed.
_CALL_SECONDS = 0.8
# A response is abandoned if no bytes of it arrive for this long. The limit is
# on progress, not on the whole response: an object may have 1 MB, which takes
# 1.7 s over a 5 Mbit/s link. A limit on the whole would discard the bytes
# received and request the object from its first byte again, without end.
_STALL_SECONDS = 0.8
# Limit for a body that keeps arriving slowly: 1 MB at a tenth of that rate.
_MAX_RESPONSE_SECONDS = 17.0
# A page holds 50 objects of up to 1 MB, of which all but a few are small.
_MAX_RESPONSE_BYTES = 32 * 1024 * 1024
_CONNECT_SECONDS = 0.4
# Added to a watch's own wait before the watch counts as lost.
_WATCH_SLACK_SECONDS = 0.5
_MS_PER_SECOND = 1000
# Requests a read that may be seconds old, at a tenth of the cost.
_STALE_READ_PARAMETERS = {"serializable": "1"}
_ERA_HEADER = b"store-era"
# Connections for writes of each kind. A write whose response is lost then
# delays a quarter of the kind's objects instead of all.
_WRITE_CONNECTIONS = 4


@dataclasses.dataclass(frozen=True)
class _Response:
    """A response of the store.

    Attributes:
        status: The HTTP status code.
        body: The decoded JSON body.
        asked_at: Monotonic time at which the call began.
        head_received_at: Monotonic time at which the head was received.
        era: The era of the store's history that it belongs to.
    """

    status: int
    body: Any
    asked_at: float
    head_received_at: float
    era: int


class PlatformStore:
    """Implements `wayslip.gateway.store.Store`.

    Reads, watches and writes use separate connections for each kind of object,
    so that a large response does not delay reads of other kinds. After a late
    response the connection is closed, because the store sends nothing more on
    it.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._connections: dict[str, _StoreConnection] = {}
        self._era: int | None = None
        # Called when a response shows that the store was restored from a copy.
        self._restore_listeners: list[Callable[[], None]] = []

    @property
    def era(self) -> int:
        """The last observed era of the store; see `decisions.position`."""
        return self._era or 0

    def on_restore(self, listener: Callable[[], None]) -> None:
        """Registers a callback for a restore of the store from a copy."""
        self._restore_listeners.append(listener)

    def _observe_era(self, head: messages.Head) -> int:
        """Returns the era of a response; records and announces a new one.

        Raises:
            ObjectUnavailableError: The response is of an earlier era.
        """
        text = head.header(_ERA_HEADER)
        era = int(text) if text.isdigit() else self.era
        if era < self.era:
            raise errors.ObjectUnavailableError(
                f"received a response of the store's era {era} in era"
                f" {self.era}",
                "call again",
            )
        before, self._era = self._era, era
        if before is not None and era > before:
            logs.event(
                _LOG, "store_era", logging.WARNING, era=era, before=before
            )
            for listener in self._restore_listeners:
                listener()
        return era

    async def list(
        self, kind: store.Kind[T], may_be_stale: bool = False
    ) -> store.Listing[T]:
        """Returns all objects of a kind."""
        found: list[_ReadResult[T]] = []
        parameters = dict(_STALE_READ_PARAMETERS) if may_be_stale else {}
        first: _Response | None = None
        while True:
            response = await self._read(kind, kind.name, parameters)
            _expect_status(response.status, 200)
            # Later pages may be newer than the first. A watch from the first
            # page's revision may repeat changes but misses none.
            first = first or response
            page = [
                _read_object(kind, raw, response.era)
                for raw in _read_envelope(response.body, "items", list)
            ]
            found += page
            if not response.body.get("has_more") or not page:
                if response.era != first.era:
                    raise errors.ObjectUnavailableError(
                        f"the store lost writes while {kind.name} was listed",
                        "list again",
                    )
                return store.Listing(
                    tuple(f for f in found if isinstance(f, store.Stored)),
                    position.make(
                        first.era, _read_envelope(first.body, "as_of", int)
                    ),
                    first.asked_at,
                    tuple(f for f in found if isinstance(f, store.Refused)),
                )
            parameters["after"] = _find_last_name(page)

    async def watch(
        self, kind: store.Kind[T], revision: int, wait: float
    ) -> store.Changes[T]:
        """Waits up to `wait` seconds for changes after a revision.

        Returns:
            The changes, empty if there were none.

        Raises:
            WatchExpiredError: The revision is too old or of another era.
            ObjectUnavailableError: The store did not answer.
        """
        self._check_watch_era(kind, revision, self.era)
        since = position.find_revision(revision)
        path = (
            f"{_PREFIX}{kind.name}?watch={since}"
            f"&wait_ms={int(wait * _MS_PER_SECOND)}"
        )
        connection = self._get_connection(f"watch-{kind.name}")
        response = await connection.call(
            "GET", path, None, wait + _WATCH_SLACK_SECONDS
        )
        # After a restore, the store may have reached the same revision again.
        self._check_watch_era(kind, revision, response.era)
        if response.status == 410:
            raise errors.WatchExpiredError(
                f"revision {revision} of {kind.name} is no longer kept",
                "list again",
            )
        _expect_status(response.status, 200)
        changes: list[store.Change[T]] = []
        refused = []
        for event in _read_envelope(response.body, "events", list):
            raw = event if isinstance(event, Mapping) else {}
            found = _read_object(kind, raw.get("object"), response.era)
            if raw.get("removed"):
                changes.append(store.Change(found.name, None))
            elif isinstance(found, store.Refused):
                refused.append(found)
                changes.append(store.Change(found.name, None))
            else:
                changes.append(store.Change(found.name, found.value))
        return store.Changes(
            tuple(changes),
            position.make(
                response.era, _read_envelope(response.body, "as_of", int)
            ),
            response.head_received_at,
            tuple(refused),
            response.asked_at,
        )

    def _check_watch_era(
        self, kind: store.Kind[Any], revision: int, era: int
    ) -> None:
        """Checks the era of a watched revision.

        Raises:
            WatchExpiredError: The revision is of another era.
        """
        if position.find_era(revision) != era:
            raise errors.WatchExpiredError(
                f"revision {revision} of {kind.name} belongs to another era",
                "list again",
            )

    async def get(
        self, kind: store.Kind[T], name: str, may_be_stale: bool = False
    ) -> store.Stored[T] | None:
        """Returns an object, None if there is none."""
        path = f"{kind.name}/{urllib.parse.quote(name, safe='')}"
        response = await self._read(
            kind, path, _STALE_READ_PARAMETERS if may_be_stale else {}
        )
        if response.status == 404:
            return None
        _expect_status(response.status, 200)
        return _decode(kind, response.body, response.era)

    async def create(
        self, kind: store.Kind[T], name: str, value: T
    ) -> store.Stored[T]:
        """Creates an object."""
        content = {"metadata": {"name": name}, "spec": kind.encode(value)}
        path = f"{_PREFIX}{kind.name}"
        response = await self._write(kind, name, "POST", path, content)
        return _decode(kind, response.body, response.era)

    async def replace(
        self,
        kind: store.Kind[T],
        stored: store.Stored[T],
        max_wait: float | None = None,
    ) -> store.Stored[T]:
        """Replaces an object if it still has the revision that was read."""
        self._check_write_era(stored.name, stored.revision, self.era)
        revision = position.find_revision(stored.revision)
        metadata = {"name": stored.name, "revision": revision}
        content = {"metadata": metadata, "spec": kind.encode(stored.value)}
        name = urllib.parse.quote(stored.name, safe="")
        path = f"{_PREFIX}{kind.name}/{name}"
        response = await self._write(
            kind, stored.name, "PUT", path, content, max_wait
        )
        # In a new era the write may have replaced another writer's object.
        self._check_write_era(stored.name, stored.revision, response.era)
        return _decode(kind, response.body, response.era)

    def _check_write_era(self, name: str, revision: int, era: int) -> None:
        """Checks the era of the revision that a write depends on.

        Raises:
            ObjectConflictError: The revision is of another era.
        """
        if position.find_era(revision) != era:
            raise errors.ObjectConflictError(
                f"the store lost writes since {name} was read", "read it again"
            )

    async def remove(
        self, kind: store.Kind[T], name: str, revision: int
    ) -> None:
        """Removes an object if it still has the given revision."""
        self._check_write_era(name, revision, self.era)
        quoted = urllib.parse.quote(name, safe="")
        number = position.find_revision(revision)
        path = f"{_PREFIX}{kind.name}/{quoted}?revision={number}"
        response = await self._get_write_connection(kind, name).call(
            "DELETE", path, None, _CALL_SECONDS
        )
        if response.status in (404, 409):
            raise errors.ObjectConflictError(
                f"{path} was changed by another writer", "read it again"
            )
        _expect_status(response.status, 200, 204)

    async def _read(
        self, kind: store.Kind[T], path: str, parameters: Mapping[str, str]
    ) -> _Response:
        """Returns the response to a read of one object or of a kind."""
        query = urllib.parse.urlencode(parameters, quote_via=urllib.parse.quote)
        target = f"{_PREFIX}{path}?{query}" if query else f"{_PREFIX}{path}"
        return await self._get_connection(f"read-{kind.name}").call(
            "GET", target, None, _CALL_SECONDS
        )

    async def _write(
        self,
        kind: store.Kind[T],
        name: str,
        method: str,
        path: str,
        content: Any,
        max_wait: float | None = None,
    ) -> _Response:
        response = await self._get_write_connection(kind, name).call(
            method, path, content, max_wait or _CALL_SECONDS
        )
        if response.status in (404, 409):
            raise errors.ObjectConflictError(
                f"{path} was changed by another writer", "read it again"
            )
        _expect_status(response.status, 200, 201)
        return response

    def _get_write_connection(
        self, kind: store.Kind[Any], name: str
    ) -> "_StoreConnection":
        """Returns the connection for writes of an object.

        A write whose response is lost blocks its connection. Each kind
        therefore has several, over which its objects are distributed.
        """
        number = zlib.crc32(name.encode()) % _WRITE_CONNECTIONS
        return self._get_connection(f"write-{kind.name}-{number}")

    def _get_connection(self, purpose: str) -> "_StoreConnection":
        if purpose not in self._connections:
            self._connections[purpose] = _StoreConnection(
                self._address, self._observe_era
            )
        return self._connections[purpose]

    def close(self) -> None:
        """Closes all connections."""
        for connection in self._connections.values():
            connection.close()


class _StoreConnection:
    """A connection to the store that carries one call at a time."""

    def __init__(
        self,
        address: tuple[str, int],
        read_era: Callable[[messages.Head], int],
    ) -> None:
        self._address = address
        self._observe_era = read_era
        self._connection: client.Connection | None = None
        self._lock = asyncio.Lock()

    async def call(
        self, method: str, path: str, content: Any, seconds: float
    ) -> _Response:
        """Returns the response to a call.

        Args:
            method: The HTTP method.
            path: The path with its query.
            content: Sent as JSON; None sends no body.
            seconds: Maximum wait for the head of the response, without the
                time to connect.

        Raises:
            ObjectUnavailableError: The response is missing, late or malformed.
        """
        async with self._lock:
            is_done = False
            started_at = clock.now()
            reader = whole.ResponseReader(
                _STALL_SECONDS, _MAX_RESPONSE_SECONDS, _MAX_RESPONSE_BYTES
            )
            try:
                if not self._is_open:
                    seconds += _CONNECT_SECONDS
                async with asyncio.timeout(seconds) as max_wait:
                    response = await self._exchange(
                        method, path, content, reader, max_wait
                    )
                is_done = True
                return response
            except (TimeoutError, errors.EndpointError, ValueError) as e:
                raise errors.ObjectUnavailableError(
                    f"the store did not answer {method} {path}"
                    f" ({_describe(e)} after"
                    f" {clock.now() - started_at:.2f} s and"
                    f" {reader.received} bytes)",
                    "try again later; a write may have taken effect",
                ) from e
            finally:
                if not is_done:
                    self.close()

    async def _exchange(
        self,
        method: str,
        path: str,
        content: Any,
        reader: whole.ResponseReader,
        max_wait: asyncio.Timeout,
    ) -> _Response:
        asked_at = clock.now()
        connection = self._connection
        if connection is None or not self._is_open:
            self.close()
            connection = await client.connect(self._address, _CONNECT_SECONDS)
            self._connection = connection
        connection.send(
            _format(self._address, method, path, content), lambda head: True
        )
        head, data = await reader.read(connection, max_wait)
        era = self._observe_era(head)
        body = documents.parse(data) if data else {}
        return _Response(
            head.status, body, asked_at, reader.head_received_at, era
        )

    @property
    def _is_open(self) -> bool:
        """Whether the present connection can carry another call."""
        connection = self._connection
        return connection is not None and connection.is_reusable

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _format(
    address: tuple[str, int], method: str, path: str, content: Any
) -> bytes:
    body = b"" if content is None else json.dumps(content).encode()
    head = f"{method} {path} HTTP/1.1\r\nhost: {address[0]}:{address[1]}\r\n"
    if content is not None:
        head += (
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n"
        )
    return head.encode("ascii") + b"\r\n" + body


def _expect_status(status: int, *expected: int) -> None:
    if status not in expected:
        raise errors.ObjectUnavailableError(
            f"the store answered {status}", "try again later"
        )


def _read_envelope(body: Any, name: str, kind: type[T]) -> T:
    """Returns a field that the store itself writes into an answer.

    Raises:
        ObjectUnavailableError: The answer does not have it.
    """
    value = body.get(name) if isinstance(body, Mapping) else None
    if not isinstance(value, kind):
        raise errors.ObjectUnavailableError(
            f"an answer of the store has no {name}", "see the store's log"
        )
    return value


_ReadResult = store.Stored[T] | store.Refused


def _read_object(kind: store.Kind[T], raw: Any, era: int) -> _ReadResult[T]:
    """Returns an object, or the reason why it cannot be read."""
    try:
        return _decode(kind, raw, era)
    except errors.ObjectError as e:
        field = e.field if isinstance(e, errors.ObjectFieldError) else "any"
        name, revision = _identify(raw)
        return store.Refused(name, revision, field, e.reason)


def _find_last_name(page: Sequence[_ReadResult[Any]]) -> str:
    """Returns the last name on a page from which a list can continue.

    Objects after it, whose names can not be sent, are on the next page again.

    Raises:
        ObjectUnavailableError: No name can be sent.
    """
    names = [one.name for one in page if one.name]
    if not names:
        raise errors.ObjectUnavailableError(
            "no object of a page has a name that can be read",
            "inspect the store's objects",
        )
    return names[-1]


def _identify(raw: Any) -> tuple[str, int]:
    """Returns an object's name and revision, "" and 0 if unreadable."""
    metadata = raw.get("metadata") if isinstance(raw, Mapping) else None
    if not isinstance(metadata, Mapping):
        return "", 0
    name, revision = "", 0
    with contextlib.suppress(fields.FieldError):
        name = fields.read_text(metadata, "name")
    with contextlib.suppress(fields.FieldError):
        revision = fields.read_int(metadata, "revision", 0)
    return name, revision


def _decode(kind: store.Kind[T], raw: Any, era: int) -> store.Stored[T]:
    """Returns an object of the store.

    Raises:
        ObjectError: It is malformed.
    """
    try:
        metadata = fields.read_object(raw["metadata"], "metadata")
        name = fields.read_text(metadata, "name")
        revision = position.make(era, fields.read_int(metadata, "revision", 0))
        value = kind.decode(name, raw.get("spec"))
    except errors.ObjectError:
        raise
    except Exception as e:
        # Nothing but the object can be the cause, so it alone is refused.
        raise errors.ObjectError(
            f"an object of {kind.name} is malformed ({type(e).__name__}: {e})",
            "inspect it in the store",
        ) from e
    return store.Stored(name, revision, value)


def _describe(error: Exception) -> str:
    """Returns what is known of a failure, in one line."""
    if isinstance(error, errors.EndpointError):
        return error.reason
    return type(error).__name__
