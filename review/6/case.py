"""A planned stop cuts requests that wait at the instance for a model."""

import asyncio
import dataclasses
import json
import pathlib
import signal
import sys
import time
from typing import Any

from review import stand

_HELD = {
    "i-1": ("m1", "m2"),
    "i-2": ("m3", "m4"),
    "i-3": ("m5", "m6"),
}
_RARE = "m7"
_LOAD_SECONDS = 5.8
_DEADLINE_MS = 20_000
# After the signal, when clients begin to ask for the rare model. The balancer
# takes the instance out about two seconds after the signal.
_ASK_AFTER_SECONDS = 2.0
_ASK_FOR_SECONDS = 0.4
_ASK_EVERY_SECONDS = 0.05
_LOSS_SLACK_SECONDS = 0.2
_EVENTS = 11
_EVENT_SECONDS = 0.02


def make_manifest() -> dict[str, Any]:
    """Returns the operator's manifest."""
    names = [*(m for held in _HELD.values() for m in held), _RARE]
    models = [
        {
            "name": name,
            "weights_mb": 72_700.0,
            "load_s": _LOAD_SECONDS,
            "disk_s": 1.7,
            "warm_s": 0.8,
            "adapters": 0,
            "adapter_mb": 66.0,
        }
        for name in names
    ]
    return {
        "version": 1,
        "routes": [
            {
                "name": "addr-recheck",
                "host": stand.HOST,
                "path_prefix": "/recheck/",
                "kind": "streaming",
                "timeout_ms": _DEADLINE_MS,
                "target_latency_ms": 8_000,
                "gap_aim_ms": 400,
                "priority": 1,
                "service": "bhasha-models",
                "max_attempts": 2,
                "resumable": False,
                "sticky": True,
            }
        ],
        "services": [
            {
                "name": "bhasha-models",
                "max_conns": 360,
                "engine": {
                    "slots": 64,
                    "kv_capacity": 132_029,
                    "weights_mb": 220_000.0,
                    "adapter_slots": 8,
                    "loads_per_s": 1.4,
                    "models": models,
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": 15_000,
        },
    }


class Engine(stand.Engine):
    """An engine that loads models in the time that the manifest tells."""

    def __init__(self, name: str, lab: stand.Lab) -> None:
        super().__init__(name, "bhasha-models", 64, 64, *_HELD[name])
        self._lab = lab
        self._is_busy = False
        self._loads: list[asyncio.Task[None]] = []
        self.received: set[str] = set()

    def _format_report(self) -> bytes:
        head, _, body = super()._format_report().partition(b"\r\n\r\n")
        report = json.loads(body)
        report["busy"] = self._is_busy
        return stand.format_answer("", 200, json.dumps(report).encode())

    def _answer_order(self, order: dict[str, Any]) -> bytes:
        model = order["model"]
        is_load = order["operation"] == "load"
        self._lab.record.note(f"{self.name} is ordered {order}")
        if (model in self.models) is is_load:
            return stand.format_answer("", 200, b"{}")
        if self._is_busy or order["expected_count"] != self.orders:
            return stand.format_answer("", 409, b"{}")
        self.orders += 1
        if is_load:
            self._is_busy = True
            self._loads.append(asyncio.create_task(self._load(model)))
        else:
            self.models.remove(model)
            self._write_entry()
        return stand.format_answer("", 202, b"{}")

    async def _load(self, model: str) -> None:
        await asyncio.sleep(_LOAD_SECONDS)
        self._is_busy = False
        self.models.append(model)
        self._lab.record.note(f"{self.name} has loaded {model}")
        self._write_entry()

    def _write_entry(self) -> None:
        entry = self.make_entry("salt-lake")
        self._lab.store.put("servers", self.name, entry)

    async def run(
        self, request: stand.Received, writer: asyncio.StreamWriter
    ) -> None:
        """Streams the answer."""
        self.received.add(request.id)
        self._lab.record.note(f"{self.name} runs {request.id}")
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Wayslip-Request-Id: {request.id}\r\n"
                f"Wayslip-Server-Seal: {stand.SEAL}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(1, _EVENTS + 1):
            await asyncio.sleep(_EVENT_SECONDS)
            event = f"id: {number}\ndata: {request.id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


@dataclasses.dataclass
class Sent:
    """A request and how its connection went on, monotonic seconds."""

    request_id: str
    sent_at: float
    ended_at: float = 0.0
    answer: stand.Answer | None = None


class Client:
    """A client with a connection that it keeps."""

    def __init__(self, lab: stand.Lab, gateway: stand.Gateway) -> None:
        self._lab = lab
        self._gateway = gateway
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def ask(self, request_id: str, model: str) -> Sent:
        """Sends a request and reads its answer."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._gateway.front)
        reader, writer = self._streams
        writer.write(
            stand.format_request(
                "POST",
                "/recheck/q",
                request_id,
                _DEADLINE_MS,
                b"x" * 400,
                Wayslip_Model=model,
                Wayslip_Token_Count="40,22",
                Wayslip_Prompt_Prefix=f"{abs(hash(request_id)):x}:40",
            )
        )
        sent = Sent(request_id, time.monotonic())
        self._lab.record.note(f"{self._gateway.name} is sent {request_id}")
        sent.answer = await stand.read_answer(reader)
        sent.ended_at = time.monotonic()
        self._lab.record.note(
            f"{request_id} answered {sent.answer.status or 'nothing'}"
            f" whole={sent.answer.is_whole}"
            f" after {sent.ended_at - sent.sent_at:.2f} s"
        )
        if sent.answer.headers.get("connection") == "close" or (
            not sent.answer.is_whole
        ):
            writer.close()
            self._streams = None
        return sent


async def case(lab: stand.Lab, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    engines = [Engine(name, lab) for name in _HELD]
    zones = ["salt-lake", "howrah-hall", "newtown"]
    await lab.start(make_manifest(), list(engines), zones)
    await asyncio.sleep(3.0)
    clients = [
        (gateway, [Client(lab, gateway) for _ in range(8)])
        for gateway in lab.gateways
    ]
    # The connections are in use before.
    for gateway, own in clients:
        for number, client in enumerate(own):
            await client.ask(
                f"{gateway.name}-first-{number}", f"m{number % 6 + 1}"
            )
    stopped = lab.gateways[-1]
    signalled_at = time.monotonic()
    if has_trouble:
        lab.record.say(f"SIGTERM to {stopped.name}")
        stopped.send(signal.SIGTERM)
    await asyncio.sleep(_ASK_AFTER_SECONDS)
    asked = []
    for number in range(round(_ASK_FOR_SECONDS / _ASK_EVERY_SECONDS)):
        for gateway, own in clients:
            name = f"{gateway.name}-{number}"
            asked.append((gateway, own[number].ask(name, _RARE)))
        asked = [(g, asyncio.ensure_future(a)) for g, a in asked]
        await asyncio.sleep(_ASK_EVERY_SECONDS)
    results = [(g, await a) for g, a in asked]
    passed_on = set().union(*(e.received for e in engines))
    lost = []
    for gateway, sent in results:
        answer = sent.answer
        assert answer is not None
        if answer.is_whole or gateway is not stopped:
            continue
        waited = sent.ended_at - sent.sent_at
        in_planned_work = sent.ended_at - signalled_at < stand.GRACE_SECONDS + 1
        if (
            waited > _LOSS_SLACK_SECONDS
            and waited < _DEADLINE_MS / 1000
            and sent.request_id not in passed_on
            and in_planned_work
        ):
            lost.append(sent)
            lab.record.say(
                f"LOST: {sent.request_id}, sent"
                f" {sent.sent_at - signalled_at:.2f} s after the signal, no"
                f" engine received it, its connection ended unanswered"
                f" {waited:.2f} s later"
            )
    counts: dict[str, int] = {}
    for gateway, sent in results:
        assert sent.answer is not None
        key = f"{gateway.name} {sent.answer.status or 'cut'}"
        counts[key] = counts.get(key, 0) + 1
    lab.record.say(f"answers: {counts}; {len(lost)} lost")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(stand.run_case(pathlib.Path(__file__).parent, case))
