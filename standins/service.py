"""Stand-in for a plain service that counts executions by request id.

`POST /run` executes once per call and is the oracle for "at most once" and
"not run": `GET /standin/runs` returns how often each request id was executed.
"""

import argparse
import collections
import json
import threading
import time
from typing import Any

from standins import web


class Service(web.Server):
    """The stand-in's server."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(host, port)
        self.runs: collections.Counter[str] = collections.Counter()
        self.delay = 0.0
        self.cut_before = 0
        self.cut_after = 0
        self.state = "serving"
        self._lock = threading.Lock()

    def dispatch(self, handler: web.Handler, path: str) -> None:
        """Answers one request."""
        if path == "/standin/runs":
            return handler.reply(200, dict(self.runs))
        if path == "/standin":
            for name, value in handler.json().items():
                setattr(self, name, value)
            return handler.reply(200, {})
        if path == "/report":
            return handler.reply(200, {"state": self.state})
        if self.state != "serving":
            return handler.reply(503, {"error": "leaving"}, X_Not_Started="1")
        return self._run(handler, path)

    def _consume(self, name: str) -> bool:
        with self._lock:
            remaining = getattr(self, name)
            if remaining <= 0:
                return False
            setattr(self, name, remaining - 1)
            return True

    def _run(self, handler: web.Handler, path: str) -> None:
        if self._consume("cut_before"):
            return handler.cut()
        try:
            body: Any = json.loads(handler.body or b"{}")
        except ValueError:
            body = {}
        run_id = str(body.get("id", "")) if isinstance(body, dict) else ""
        if handler.command not in ("GET", "HEAD") and run_id:
            with self._lock:
                self.runs[run_id] += 1
        if self.delay:
            time.sleep(self.delay)
        if self._consume("cut_after"):
            return handler.cut()
        answer = {"ran": run_id, "path": path, "times": self.runs[run_id]}
        return handler.reply(200, answer)


def main() -> None:
    """Runs the stand-in until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--delay", type=float, default=0.0)
    args = parser.parse_args()
    service = Service(port=args.port)
    service.delay = args.delay
    service.serve_forever()


if __name__ == "__main__":
    main()
