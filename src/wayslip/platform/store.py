"""Client of the platform's store, over HTTP on the event loop."""

import asyncio
from collections.abc import Mapping
import json
import time
from typing import Any
from typing import TypeVar
import urllib.parse
import zlib

from wayslip import errors
from wayslip.gateway import store
from wayslip.http1 import client

T = TypeVar("T")

_PREFIX = "/wayslip/objects/"
# The store answers in 4 ms; a hundred times that is no answer, seconds.
_CALL_SECONDS = 0.8
_CONNECT_SECONDS = 0.4
# Added to a watch's own waiting time before it is taken as lost, seconds.
_WATCH_SLACK = 0.5
_MS = 1000
# Asks for an answer that may be seconds old, at a tenth of the price.
_STALE = {"serializable": "1"}
# Connections for writes of one kind: lost answers then hold up a quarter.
_WRITE_LINES = 4


class PlatformStore:
    """Implements `wayslip.gateway.store.Store`.

    Each kind of waiting has a connection of its own. Once an answer was
    late, its connection is closed: the store says nothing more on it.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._lines: dict[str, _Line] = {}

    async def list(
        self, kind: store.Kind[T], may_be_stale: bool = False
    ) -> store.Listing[T]:
        """Returns all objects of a kind."""
        items: list[store.Stored[T]] = []
        fields = dict(_STALE) if may_be_stale else {}
        revision: int | None = None
        while True:
            status, body = await self._read(f"{_PREFIX}{kind.name}", fields)
            _expect(status, 200)
            # A page may be newer than the first; watching from the first
            # one's revision repeats changes and leaves none out.
            if revision is None:
                revision = int(body["as_of"])
            for raw in body["items"]:
                items.append(_decode(kind, raw))
            if not body.get("has_more") or not items:
                return store.Listing(tuple(items), revision)
            fields["after"] = items[-1].name

    async def watch(
        self, kind: store.Kind[T], revision: int, wait: float
    ) -> store.Changes[T]:
        """Returns what changed, nothing if nothing did for `wait` seconds."""
        path = (
            f"{_PREFIX}{kind.name}?watch={revision}&wait_ms={int(wait * _MS)}"
        )
        line = self._line(f"watch-{kind.name}")
        status, body = await line.call("GET", path, None, wait + _WATCH_SLACK)
        if status == 410:
            raise errors.WatchExpiredError(
                f"revision {revision} of {kind.name} is no longer kept",
                "list again",
            )
        _expect(status, 200)
        changes = []
        for event in body.get("events") or ():
            raw = event["object"]
            name = raw["metadata"]["name"]
            value = None if event.get("removed") else _decode(kind, raw).value
            changes.append(store.Change(name, value))
        return store.Changes(tuple(changes), int(body["as_of"]))

    async def get(
        self, kind: store.Kind[T], name: str, may_be_stale: bool = False
    ) -> store.Stored[T] | None:
        """Returns an object, None if there is none."""
        path = f"{_PREFIX}{kind.name}/{urllib.parse.quote(name, safe='')}"
        status, body = await self._read(path, _STALE if may_be_stale else {})
        if status == 404:
            return None
        _expect(status, 200)
        return _decode(kind, body)

    async def create(
        self, kind: store.Kind[T], name: str, value: T
    ) -> store.Stored[T]:
        """Makes an object."""
        content = {"metadata": {"name": name}, "spec": kind.encode(value)}
        path = f"{_PREFIX}{kind.name}"
        return await self._write(kind, name, "POST", path, content)

    async def replace(
        self,
        kind: store.Kind[T],
        stored: store.Stored[T],
        patience: float | None = None,
    ) -> store.Stored[T]:
        """Replaces an object if it still has the revision it was read at."""
        metadata = {"name": stored.name, "revision": stored.revision}
        content = {"metadata": metadata, "spec": kind.encode(stored.value)}
        name = urllib.parse.quote(stored.name, safe="")
        path = f"{_PREFIX}{kind.name}/{name}"
        return await self._write(
            kind, stored.name, "PUT", path, content, patience
        )

    async def remove(
        self, kind: store.Kind[T], name: str, revision: int
    ) -> None:
        """Removes an object if it still has a revision."""
        quoted = urllib.parse.quote(name, safe="")
        path = f"{_PREFIX}{kind.name}/{quoted}?revision={revision}"
        status, _ = await self._write_line(kind, name).call(
            "DELETE", path, None, _CALL_SECONDS
        )
        if status in (404, 409):
            raise errors.ObjectConflictError(
                f"{path} was changed by somebody else", "read it again"
            )
        _expect(status, 200, 204)

    async def _read(
        self, path: str, fields: Mapping[str, str]
    ) -> tuple[int, Any]:
        """Returns the status and the body of a read's answer."""
        query = urllib.parse.urlencode(fields, quote_via=urllib.parse.quote)
        return await self._line("read").call(
            "GET", f"{path}?{query}" if query else path, None, _CALL_SECONDS
        )

    async def _write(
        self,
        kind: store.Kind[T],
        name: str,
        method: str,
        path: str,
        content: Any,
        patience: float | None = None,
    ) -> store.Stored[T]:
        status, body = await self._write_line(kind, name).call(
            method, path, content, patience or _CALL_SECONDS
        )
        if status in (404, 409):
            raise errors.ObjectConflictError(
                f"{path} was changed by somebody else", "read it again"
            )
        _expect(status, 200, 201)
        return _decode(kind, body)

    def _write_line(self, kind: store.Kind[Any], name: str) -> "_Line":
        """Returns the connection for writes of an object.

        A write whose answer is lost holds its connection up. So each kind has
        some of its own, over which its objects are spread.
        """
        number = zlib.crc32(name.encode()) % _WRITE_LINES
        return self._line(f"write-{kind.name}-{number}")

    def _line(self, purpose: str) -> "_Line":
        if purpose not in self._lines:
            self._lines[purpose] = _Line(self._address)
        return self._lines[purpose]

    def close(self) -> None:
        """Closes all connections."""
        for line in self._lines.values():
            line.close()


class _Line:
    """One connection to the store, used for one call after the other."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._connection: client.Connection | None = None
        self._lock = asyncio.Lock()
        # Of the body of the present answer, bytes.
        self._received = 0

    async def call(
        self, method: str, path: str, content: Any, seconds: float
    ) -> tuple[int, Any]:
        """Returns the status and the body of a call's answer."""
        async with self._lock:
            is_done = False
            began = time.monotonic()
            self._received = 0
            try:
                if not self._is_open:
                    seconds += _CONNECT_SECONDS
                async with asyncio.timeout(seconds):
                    answer = await self._exchange(method, path, content)
                is_done = True
                return answer
            except (TimeoutError, errors.EndpointError, ValueError) as e:
                raise errors.ObjectUnavailableError(
                    f"the store did not answer {method} {path}"
                    f" ({type(e).__name__} after"
                    f" {time.monotonic() - began:.2f} s and"
                    f" {self._received} bytes)",
                    "wait for it; a write may have taken effect",
                ) from e
            finally:
                if not is_done:
                    self.close()

    async def _exchange(
        self, method: str, path: str, content: Any
    ) -> tuple[int, Any]:
        connection = self._connection
        if connection is None or not self._is_open:
            self.close()
            connection = await client.connect(self._address, _CONNECT_SECONDS)
            self._connection = connection
        connection.send(
            _format(self._address, method, path, content), lambda head: True
        )
        head = await connection.read_head()
        parts = []
        while part := await connection.read():
            parts.append(part)
            self._received += len(part)
        data = b"".join(parts)
        return head.status, json.loads(data) if data else {}

    @property
    def _is_open(self) -> bool:
        """Whether there is a connection that can take a call."""
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


def _expect(status: int, *wanted: int) -> None:
    if status not in wanted:
        raise errors.ObjectUnavailableError(
            f"the store answered {status}", "wait, then call again"
        )


def _decode(kind: store.Kind[T], raw: Any) -> store.Stored[T]:
    try:
        metadata = raw["metadata"]
        name = metadata["name"]
        revision = int(metadata["revision"])
        spec = raw.get("spec")
    except (KeyError, TypeError, ValueError, AttributeError) as e:
        raise errors.ObjectError(
            f"an object of {kind.name} is malformed ({e})", "see the store"
        ) from e
    return store.Stored(name, revision, kind.decode(name, spec))
