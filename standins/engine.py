"""Stand-in for a model engine.

Answers completions with words derived from the model and the prompt, so that
any caller can verify an answer. A generation advances with time whether or not
a client reads it, and can be read again from any event. Memory use is tracked:
a load that exceeds the capacity is counted in `overcommitted`.
"""

import argparse
import dataclasses
import hashlib
import json
import threading
import time
from typing import Any
import uuid

from standins import ticker
from standins import web

_RETENTION_SECONDS = 120.0
_CHARS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True)
class Options:
    """Behaviour of the engine.

    Attributes:
        checks_fence: Whether an order with an old fence or another boot is
            refused.
        load_seconds: Time from a load order until the item is resident.
        overload: Whether a load that exceeds the capacity is accepted, as by
            an engine that does not check its memory.
    """

    capacity: int = 80_000
    checks_fence: bool = True
    slots: int = 32
    step: float = 0.02
    prefill_rate: float = 20_000.0
    load_seconds: float = 0.2
    overload: bool = True


@dataclasses.dataclass
class Generation:
    """A completion that is being generated."""

    id: str
    model: str
    words: list[str]
    first_event_at: float
    is_chat: bool
    cancelled: bool = False

    def ready_at(self, index: int, step: float) -> float:
        """Returns when an event becomes available, in monotonic seconds."""
        return self.first_event_at + index * step


def make_words(model: str, prompt: str, count: int) -> list[str]:
    """Returns the words that answer a prompt; tests compare with them."""
    text = f"{model}\0{prompt}".encode("utf-8", "surrogatepass")
    seed = hashlib.blake2b(text).hexdigest()
    return [f"{seed[i % 100 : i % 100 + 4]}{i} " for i in range(count)]


def read_prompt(body: Any) -> str:
    """Returns a request's prompt as one string."""
    if "messages" in body:
        return "\n".join(str(m.get("content")) for m in body["messages"])
    return str(body.get("prompt", ""))


class Engine(web.Server):
    """The stand-in's server."""

    def __init__(
        self, options: Options, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        super().__init__(host, port)
        self.options = options
        self.boot = time.time_ns() // 1_000_000
        self.fence = 0
        self.state = "serving"
        self.overcommitted = 0
        self.served = 0
        self.lose_answers = 0
        # Whether requests for the load report are closed without an answer.
        self.cut_reports = False
        self.cut_streams_after = 0
        self.orders: list[Any] = []
        self._items: dict[str, tuple[int, float]] = {}
        self._generations: dict[str, Generation] = {}
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(options.slots)
        self._waiting: dict[str, int] = {}
        self._running: set[str] = set()
        self._ticker = ticker.Ticker()

    def dispatch(self, handler: web.Handler, path: str) -> None:
        """Answers one request."""
        match handler.command, path:
            case "GET", "/report" if self.cut_reports:
                return handler.cut()
            case "GET", "/report":
                return handler.reply(200, self.report())
            case "POST", "/orders":
                return self._order(handler)
            case "POST", "/v1/chat/completions" | "/v1/completions":
                return self._complete(handler, path)
            case "POST", "/standin":
                return self._control(handler)
        prefix = "/v1/streams/"
        if path.startswith(prefix):
            return self._stream_call(handler, path[len(prefix) :])
        return handler.reply(404, {"error": {"message": "no such path"}})

    def _control(self, handler: web.Handler) -> None:
        for name, value in handler.json().items():
            setattr(self, name, value)
        handler.reply(200, {})

    # Memory and orders

    def report(self) -> Any:
        """Returns the load report."""
        with self._lock:
            now = time.monotonic()
            resident = [i for i, (_, at) in self._items.items() if at <= now]
            loading = [i for i, (_, at) in self._items.items() if at > now]
            return {
                "boot": self.boot,
                "fence": self.fence,
                "state": self.state,
                "running": len(self._running),
                "waiting": len(self._waiting),
                "waiting_tokens": sum(self._waiting.values()),
                "slots": self.options.slots,
                "prefill_rate": self.options.prefill_rate,
                "step": self.options.step,
                "capacity": self.options.capacity,
                "resident": resident,
                "loading": loading,
                "overcommitted": self.overcommitted,
            }

    def apply(self, order: Any) -> tuple[str, str]:
        """Applies an order; returns outcome and detail."""
        with self._lock:
            self.orders.append(order)
            if self.options.checks_fence:
                if order["boot"] != self.boot or order["fence"] <= self.fence:
                    return "refused", "the boot or the fence is outdated"
                self.fence = order["fence"]
            if order["action"] == "load":
                return self._load(order["item"], order["size"])
            self._items.pop(order["item"], None)
            return "applied", ""

    def _load(self, item: str, size: int) -> tuple[str, str]:
        if item in self._items:
            return "applied", "the item was already resident or loading"
        used = sum(s for s, _ in self._items.values())
        if used + size > self.options.capacity:
            self.overcommitted += 1
            if not self.options.overload:
                return "refused", "not enough memory"
        ready = time.monotonic() + self.options.load_seconds
        self._items[item] = (size, ready)
        return "applied", ""

    def _order(self, handler: web.Handler) -> None:
        outcome, detail = self.apply(handler.json())
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return handler.cut()
        answer = {
            "outcome": outcome,
            "detail": detail,
            "report": self.report(),
        }
        return handler.reply(200, answer)

    # Completions

    def _complete(self, handler: web.Handler, path: str) -> None:
        body = handler.json()
        if self.state != "serving":
            return self._refuse(handler, 503, "the engine is leaving")
        if body.get("model") not in self.report()["resident"]:
            return self._refuse(handler, 404, "the model is not loaded")
        request_id = handler.headers.get("X-Request-Id") or uuid.uuid4().hex
        generation = self._begin(request_id, body, "chat" in path)
        if not body.get("stream"):
            self._sleep_until(generation, len(generation.words))
            return handler.reply(200, _format_completion(generation))
        handler.begin_chunks("text/event-stream")
        return self._send_events(handler, generation, 0)

    def _refuse(self, handler: web.Handler, status: int, why: str) -> None:
        error = {"error": {"message": why}}
        handler.reply(status, error, X_Not_Started="1")

    def _begin(self, request_id: str, body: Any, is_chat: bool) -> Generation:
        prompt = read_prompt(body)
        tokens = len(prompt) // _CHARS_PER_TOKEN + 1
        with self._lock:
            self._waiting[request_id] = tokens
        # A generation releases its slot when its time is over, whether or not
        # a client reads it.
        self._slots.acquire()
        count = int(body.get("max_tokens") or 16)
        first_event_at = time.monotonic() + tokens / self.options.prefill_rate
        words = make_words(body["model"], prompt, count)
        generation = Generation(
            request_id, body["model"], words, first_event_at, is_chat
        )
        with self._lock:
            self.served += 1
            del self._waiting[request_id]
            self._running.add(request_id)
            self._generations[request_id] = generation
        ends = first_event_at + count * self.options.step
        self._ticker.add(ends, lambda: self._finish(request_id))
        return generation

    def _finish(self, request_id: str) -> None:
        with self._lock:
            self._running.discard(request_id)
            now = time.monotonic()
            expired = [
                g.id
                for g in self._generations.values()
                if now - g.first_event_at > _RETENTION_SECONDS
            ]
            for name in expired:
                del self._generations[name]
        self._slots.release()

    def _sleep_until(self, generation: Generation, index: int) -> None:
        ready = generation.ready_at(index, self.options.step)
        time.sleep(max(ready - time.monotonic(), 0))

    def _send_events(
        self, handler: web.Handler, generation: Generation, first: int
    ) -> None:
        """Sends the events from index `first` on, each when it is ready."""
        writer = ticker.ChunkWriter(handler.detach())
        index = first

        def step() -> float | None:
            nonlocal index
            try:
                if not writer.flush():
                    return time.monotonic() + ticker.RETRY_SECONDS
                if self._is_cut(generation, index):
                    # In the middle of an event, as when a connection breaks.
                    if index < len(generation.words):
                        writer.write(_format_event(generation, index)[:20])
                    writer.close()
                    return None
                if index >= len(generation.words):
                    writer.write(b"data: [DONE]\n\n")
                    writer.write(b"")
                    writer.close()
                    return None
                writer.write(_format_event(generation, index))
            except OSError:
                writer.close()
                return None
            index += 1
            return generation.ready_at(index, self.options.step)

        self._ticker.add(generation.ready_at(index, self.options.step), step)

    def _is_cut(self, generation: Generation, index: int) -> bool:
        if generation.cancelled:
            return True
        if self.cut_streams_after and index >= self.cut_streams_after:
            self.cut_streams_after = 0
            return True
        return False

    def _stream_call(self, handler: web.Handler, request_id: str) -> None:
        generation = self._generations.get(request_id)
        if generation is None:
            started = False
            return handler.reply(404, {"started": started})
        if handler.command == "DELETE":
            generation.cancelled = True
            with self._lock:
                self._running.discard(request_id)
            return handler.reply(200, {"started": True})
        handler.begin_chunks("text/event-stream")
        after = int(handler.query.get("after", -1))
        return self._send_events(handler, generation, after + 1)


def _format_event(generation: Generation, index: int) -> bytes:
    word = generation.words[index]
    if generation.is_chat:
        choice: Any = {"index": 0, "delta": {"content": word}}
    else:
        choice = {"index": 0, "text": word}
    chunk = {
        "id": generation.id,
        "model": generation.model,
        "choices": [choice],
    }
    return f"id: {index}\ndata: {json.dumps(chunk)}\n\n".encode()


def _format_completion(generation: Generation) -> Any:
    text = "".join(generation.words)
    if generation.is_chat:
        message = {"role": "assistant", "content": text}
        choice: Any = {"index": 0, "message": message, "finish_reason": "stop"}
    else:
        choice = {"index": 0, "text": text, "finish_reason": "stop"}
    return {
        "id": generation.id,
        "object": "chat.completion",
        "model": generation.model,
        "choices": [choice],
        "usage": {"completion_tokens": len(generation.words)},
    }


def main() -> None:
    """Runs the stand-in until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--capacity", type=int, default=80_000)
    parser.add_argument("--no-fence", action="store_true")
    parser.add_argument("--slots", type=int, default=32)
    parser.add_argument("--step", type=float, default=0.02)
    parser.add_argument("--load-seconds", type=float, default=0.2)
    args = parser.parse_args()
    options = Options(
        capacity=args.capacity,
        checks_fence=not args.no_fence,
        slots=args.slots,
        step=args.step,
        load_seconds=args.load_seconds,
    )
    Engine(options, port=args.port).serve_forever()


if __name__ == "__main__":
    main()
