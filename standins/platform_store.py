"""Stand-in for the platform's store, on the event loop, with fault injection.

It keeps objects with one revision counter, answers lists, watches and
conditional writes, and can compact its history. Reads that allow stale data
(`serializable=1`) are answered from a copy, which can be frozen at a revision.
"""

import asyncio
import copy
import dataclasses
import json
from typing import Any
import urllib.parse

from wayslip.decisions import manifest
from wayslip.http1 import messages
from wayslip.http1 import server

_PREFIX = "/wayslip/objects/"
_JSON = ((b"content-type", b"application/json"),)
_STEP_SECONDS = 0.01
# Objects by kind and name.
_Objects = dict[str, dict[str, dict[str, Any]]]


@dataclasses.dataclass
class Faults:
    """Injected faults.

    Attributes:
        is_down: Whether calls are answered 503 and have no effect.
        is_silent: Whether calls are held, without effect or answer, until
            this is unset.
        loses_writes: Number of next writes that are applied and whose
            connections are then reset without an answer.
        mutes_writes: Number of next writes that are applied and never
            answered; their connections stay open.
        page: Maximum number of objects in a page of a list.
        bytes_per_s: Rate at which answers are sent, None for unlimited.
        stalls_after: Bytes of an answer after which sending stops, None for
            never; applies only with `bytes_per_s`.
    """

    is_down: bool = False
    is_silent: bool = False
    loses_writes: int = 0
    mutes_writes: int = 0
    page: int = 500
    bytes_per_s: int | None = None
    stalls_after: int | None = None


class PlatformStore:
    """The stand-in. Used on the event loop only."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.objects: _Objects = {}
        self.revision = 1
        self.oldest = 0
        self.history: list[tuple[int, str, bool, dict[str, Any]]] = []
        self.calls: list[tuple[str, str]] = []
        # Increases each time that the store is restored from a backup.
        self.era = 1
        self._backup: tuple[_Objects, int] | None = None
        # JSON texts by the strings that stand for them in objects.
        self._texts: dict[str, str] = {}
        # Objects and revision that stale reads return, None for the newest.
        self._stale_state: tuple[_Objects, int] | None = None
        self._server = server.Server(
            ("127.0.0.1", 0), self._answer, manifest.Limits
        )

    async def start(self) -> str:
        """Listens; returns the address."""
        await self._server.start()
        return f"127.0.0.1:{self._server.port}"

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        self._server.stop_listening()
        self._server.abort_all()

    # Changes by operators and endpoints

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object; returns its revision."""
        self.revision += 1
        created = self.revision
        known = self.objects.get(kind, {}).get(name)
        if known is not None:
            created = known["metadata"]["create_rev"]
        value = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects.setdefault(kind, {})[name] = value
        self.history.append((self.revision, kind, False, value))
        return self.revision

    def put_text(self, kind: str, name: str, text: str) -> int:
        """Writes an object whose content is a JSON text of another encoder."""
        placeholder = f"text-{len(self._texts)}-of-{name}"
        self._texts[json.dumps(placeholder)] = text
        return self.put(kind, name, placeholder)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        value = self.objects[kind].pop(name)
        self.revision += 1
        self.history.append((self.revision, kind, True, value))

    def forget_history(self) -> None:
        """Drops the history, as a compaction does; older watches get 410."""
        self.oldest = self.revision
        self.history.clear()

    def hold_copies(self) -> None:
        """Freezes what reads that allow stale data return."""
        self._stale_state = (copy.deepcopy(self.objects), self.revision)

    def keep_backup(self) -> None:
        """Keeps a backup of the current objects and revision."""
        self._backup = (copy.deepcopy(self.objects), self.revision)

    def return_to_backup(self) -> None:
        """Restores the backup, losing later writes, and starts a new era."""
        assert self._backup is not None, "keep_backup() must be called first"
        objects, self.revision = self._backup
        self.objects = copy.deepcopy(objects)
        self.history = [h for h in self.history if h[0] <= self.revision]
        self.oldest = min(self.oldest, self.revision)
        self._stale_state = None
        self.era += 1

    # Calls

    async def _answer(self, exchange: server.Exchange) -> None:
        method = exchange.request.method.decode()
        url = urllib.parse.urlsplit(exchange.request.target.decode())
        self.calls.append((method, exchange.request.target.decode()))
        while self.faults.is_silent:
            await asyncio.sleep(_STEP_SECONDS)
        if self.faults.is_down:
            exchange.answer(503, self._headers(), b"")
            return
        kind, _, name = url.path.removeprefix(_PREFIX).partition("/")
        query = dict(urllib.parse.parse_qsl(url.query))
        if method == "GET" and not name and "watch" in query:
            status, value = await self._watch(kind, query)
        elif method == "GET" and not name:
            status, value = self._list(kind, query)
        elif method == "GET":
            status, value = self._get(kind, name, query)
        else:
            status, value = self._write(method, kind, name, query, exchange)
            if status == 200 and self.faults.loses_writes:
                self.faults.loses_writes -= 1
                exchange.abort()
                return
            if status == 200 and self.faults.mutes_writes:
                self.faults.mutes_writes -= 1
                await asyncio.Event().wait()
        content = json.dumps(value)
        for placeholder, text in self._texts.items():
            content = content.replace(placeholder, text)
        body = content.encode()
        if self.faults.bytes_per_s is None:
            exchange.answer(status, self._headers(), body)
        else:
            await self._answer_slowly(
                exchange, status, body, self.faults.bytes_per_s
            )

    async def _answer_slowly(
        self,
        exchange: server.Exchange,
        status: int,
        body: bytes,
        bytes_per_s: int,
    ) -> None:
        """Sends an answer at a limited rate."""
        exchange.start(status, self._headers(), len(body))
        step = max(int(bytes_per_s * _STEP_SECONDS), 1)
        for offset in range(0, len(body), step):
            stall = self.faults.stalls_after
            if stall is not None and offset >= stall:
                await asyncio.Event().wait()
            await exchange.send(body[offset : offset + step])
            await asyncio.sleep(_STEP_SECONDS)
        exchange.finish()

    def _headers(self) -> messages.Headers:
        return (*_JSON, (b"store-era", b"%d" % self.era))

    def _visible_state(self, query: dict[str, str]) -> tuple[_Objects, int]:
        """Returns the objects and the revision that a read returns."""
        if self._stale_state is not None and query.get("serializable") == "1":
            return self._stale_state
        return self.objects, self.revision

    def _get(
        self, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        objects, _ = self._visible_state(query)
        value = objects.get(kind, {}).get(name)
        return (200, value) if value else (404, {})

    def _list(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = query.get("after", "")
        objects, revision = self._visible_state(query)
        values = objects.get(kind, {})
        names = sorted(n for n in values if n > after)
        page = names[: self.faults.page]
        return 200, {
            "items": [values[n] for n in page],
            "has_more": len(names) > len(page),
            "as_of": revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["wait_ms"]) / 1000
        while True:
            if since < self.oldest or since > self.revision:
                return 410, {}
            events = [
                {"object": value, "removed": is_removed}
                for revision, changed, is_removed, value in self.history
                if changed == kind and revision > since
            ]
            if events or loop.time() >= end:
                return 200, {"events": events, "as_of": self.revision}
            await asyncio.sleep(_STEP_SECONDS)

    def _write(
        self,
        method: str,
        kind: str,
        name: str,
        query: dict[str, str],
        exchange: server.Exchange,
    ) -> tuple[int, Any]:
        if method == "DELETE":
            known = self.objects.get(kind, {}).get(name)
            if known is None:
                return 404, {}
            if int(query["revision"]) != known["metadata"]["revision"]:
                return 409, known
            self.remove(kind, name)
            return 200, {}
        content = json.loads(exchange.request.body)
        name = content["metadata"]["name"]
        known = self.objects.get(kind, {}).get(name)
        if method == "POST" and known is not None:
            return 409, known
        if method == "PUT" and known is None:
            return 404, {}
        if known is not None:
            expected = content["metadata"].get("revision")
            if expected != known["metadata"]["revision"]:
                return 409, known
        self.put(kind, name, content["spec"])
        return 200, self.objects[kind][name]
