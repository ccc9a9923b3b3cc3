"""Stand-in for the platform's object API, with fault injection.

Keeps objects in memory with increasing versions. `POST /standin/faults` sets
the fields of `Faults`; a seeded random generator decides which calls fail.
"""

import argparse
import collections
import dataclasses
import json
import random
import threading
import time
from typing import Any

from standins import web

_PREFIX = "/apis/wayslip.io/v1/"
_MAX_OBJECT_BYTES = 1_000_000
_HISTORY_EVENTS = 1000


@dataclasses.dataclass
class Faults:
    """Injected faults; fractions are probabilities.

    Attributes:
        down: Whether every connection is closed without an answer.
        delay: Seconds before each answer.
        lose: Fraction of the writes that take effect without an answer.
        stale: Fraction of the reads of one object that return its previous
            version.
        fail: Fraction of the calls that are answered 503 and have no effect.
        skip: Fraction of the events that a watch omits.
        cut_watches: 1 closes watches at once, 2 makes them expire with 410.
    """

    down: bool = False
    delay: float = 0.0
    lose: float = 0.0
    stale: float = 0.0
    fail: float = 0.0
    skip: float = 0.0
    cut_watches: int = 0


class ObjectApi(web.Server):
    """The stand-in's server."""

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        token: str = "",
        seed: int = 0,
    ) -> None:
        super().__init__(host, port)
        self.token = token
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(seed)
        self._version = 0
        self._objects: dict[tuple[str, str], Any] = {}
        self._previous: dict[tuple[str, str], Any] = {}
        self._events: collections.deque[tuple[int, str, str, Any]] = (
            collections.deque(maxlen=_HISTORY_EVENTS)
        )
        self._changed = threading.Condition()

    # Requests

    def dispatch(self, handler: web.Handler, path: str) -> None:
        """Answers one request."""
        if path == "/standin/faults":
            self.faults = Faults(**handler.json())
            return handler.reply(200, dataclasses.asdict(self.faults))
        if path == "/standin/calls":
            return handler.reply(200, dict(self.calls))
        expected = f"Bearer {self.token}"
        if self.token and handler.headers.get("Authorization") != expected:
            return handler.reply(401, {"code": 401})
        if not path.startswith(_PREFIX):
            return handler.reply(404, {"code": 404})
        plural, _, name = path[len(_PREFIX) :].partition("/")
        is_watch = "watch" in handler.query
        self.calls["WATCH" if is_watch else handler.command] += 1
        if self.faults.delay:
            time.sleep(self.faults.delay)
        if self.faults.down:
            return handler.cut()
        if self._draw(self.faults.fail):
            return handler.reply(503, {"code": 503})
        if is_watch:
            return self._watch(handler, plural)
        return self._answer(handler, plural, name)

    def _draw(self, chance: float) -> bool:
        return bool(chance) and self._rng.random() < chance

    def _answer(self, handler: web.Handler, plural: str, name: str) -> None:
        if handler.command == "GET":
            status, value = self.read(plural, name)
            return handler.reply(status, value)
        body = None if handler.command == "DELETE" else handler.json()
        status, value = self.write(handler.command, plural, name, body)
        if self._draw(self.faults.lose):
            return handler.cut()
        return handler.reply(status, value)

    # Storage

    def read(self, plural: str, name: str) -> tuple[int, Any]:
        """Returns status and body of a get, or of a list without a name."""
        with self._changed:
            if not name:
                items = [
                    o for (p, _), o in self._objects.items() if p == plural
                ]
                metadata = {"resourceVersion": str(self._version)}
                return 200, {"items": items, "metadata": metadata}
            found = self._objects.get((plural, name))
            if found is not None and self._draw(self.faults.stale):
                found = self._previous.get((plural, name), found)
        if found is None:
            return 404, {"code": 404}
        return 200, found

    def write(
        self, method: str, plural: str, name: str, body: Any
    ) -> tuple[int, Any]:
        """Applies a conditional write; returns status and body."""
        if body is not None and len(json.dumps(body)) > _MAX_OBJECT_BYTES:
            return 413, {"code": 413}
        with self._changed:
            if method == "POST":
                name = body["metadata"]["name"]
            known = self._objects.get((plural, name))
            if method == "POST" and known is not None:
                return 409, {"code": 409}
            if method != "POST" and known is None:
                return 404, {"code": 404}
            if method == "PUT" and known is not None:
                read = body["metadata"].get("resourceVersion")
                if read != known["metadata"]["resourceVersion"]:
                    return 409, {"code": 409}
            self._version += 1
            if known is not None:
                self._previous[plural, name] = known
            if method == "DELETE":
                del self._objects[plural, name]
                self._record("DELETED", plural, known)
                return 200, known
            body["metadata"]["resourceVersion"] = str(self._version)
            self._objects[plural, name] = body
            self._record(
                "ADDED" if method == "POST" else "MODIFIED", plural, body
            )
            return (201 if method == "POST" else 200), body

    def _record(self, change: str, plural: str, body: Any) -> None:
        self._events.append((self._version, change, plural, body))
        self._changed.notify_all()

    # Watching

    def _watch(self, handler: web.Handler, plural: str) -> None:
        since = int(handler.query.get("resourceVersion", "0"))
        deadline = time.monotonic() + float(
            handler.query.get("timeoutSeconds", 30)
        )
        handler.begin_chunks("application/json")
        while time.monotonic() < deadline and not self.faults.down:
            if self.faults.cut_watches == 1:
                return handler.cut()
            with self._changed:
                first = self._events[0][0] if self._events else 0
                expired = since and first > since + 1
                if expired or self.faults.cut_watches == 2:
                    return self._expire(handler)
                new_events = [e for e in self._events if e[0] > since]
                if not new_events:
                    self._changed.wait(0.25)
                    continue
            since = new_events[-1][0]
            for _, change, event_plural, body in new_events:
                if event_plural == plural and not self._draw(self.faults.skip):
                    event = {"type": change, "object": body}
                    handler.write_chunk(json.dumps(event).encode() + b"\n")
        if self.faults.down:
            return handler.cut()
        return handler.write_chunk(b"")

    def _expire(self, handler: web.Handler) -> None:
        event = {"type": "ERROR", "object": {"code": 410}}
        handler.write_chunk(json.dumps(event).encode() + b"\n")
        handler.write_chunk(b"")


def main() -> None:
    """Runs the stand-in until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--token", default="")
    parser.add_argument("--seed", type=int, default=0)
    args = parser.parse_args()
    ObjectApi(port=args.port, token=args.token, seed=args.seed).serve_forever()


if __name__ == "__main__":
    main()
