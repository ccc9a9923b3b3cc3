"""A surplus refusal of an engine is taken for its answer to the next send."""

import asyncio
import collections
import pathlib
import random
import sys
import time
from typing import Any

from review import stand

_MODELS = ("m1", "m2", "m3", "m4", "m5")
# Share of an engine's answers that it gives a second time, late.
_SURPLUS_SHARE = 0.03
# Share of the engines that do so.
_FAULTY_SHARE = 0.6
_PLAY_SECONDS = 60.0
_CLIENTS_PER_MODEL = 4
_EVENTS = 11
_EVENT_SECONDS = 0.01


def make_manifest() -> dict[str, Any]:
    """Returns the operator's manifest."""
    models = [
        {
            "name": name,
            "weights_mb": 72_700.0,
            "load_s": 5.0,
            "disk_s": 1.7,
            "warm_s": 0.8,
            "adapters": 0,
            "adapter_mb": 66.0,
        }
        for name in _MODELS
    ]
    return {
        "version": 1,
        "routes": [
            {
                "name": "complaint-triage",
                "host": stand.HOST,
                "path_prefix": "/triage/",
                "kind": "streaming",
                "timeout_ms": 15_000,
                "target_latency_ms": 6_000,
                "gap_aim_ms": 400,
                "priority": 1,
                "service": "member-assist",
                "max_attempts": 2,
                "resumable": False,
                "sticky": True,
            }
        ],
        "services": [
            {
                "name": "member-assist",
                "max_conns": 370,
                "engine": {
                    "slots": 4,
                    "kv_capacity": 119_473,
                    "weights_mb": 80_000.0,
                    "adapter_slots": 5,
                    "loads_per_s": 2.1,
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
    """An engine that now and then gives an answer a second time.

    The surplus answer stands where the next one on the connection is expected.

    Attributes:
        runs: When it began to work on requests, by request id.
        is_faulty: Whether it gives surplus answers.
    """

    def __init__(self, name: str, model: str, lab: stand.Lab) -> None:
        super().__init__(name, "member-assist", 4, 2, model)
        self.runs: collections.Counter[str] = collections.Counter()
        self.answers = self.surplus = 0
        self.is_faulty = False
        self._lab = lab
        self._rng = random.Random(name)
        self._late: dict[asyncio.StreamWriter, bytes] = {}

    async def before_answer(self, writer: asyncio.StreamWriter) -> None:
        """Writes a late surplus answer, if there is one."""
        late = self._late.pop(writer, None)
        if late is not None and not writer.is_closing():
            self._lab.record.note(f"{self.name} repeats an earlier answer")
            writer.write(late)

    async def refuse(
        self, request: stand.Received, writer: asyncio.StreamWriter, status: int
    ) -> None:
        """Refuses a request; sometimes says so twice."""
        data = stand.format_answer(
            request.id, status, b"", Wayslip_Not_Executed="1"
        )
        self._lab.record.note(f"{self.name} refuses {request.id} {status}")
        writer.write(data)
        self._note_answer(writer, data)

    def _note_answer(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.answers += 1
        if self.is_faulty and self._rng.random() < _SURPLUS_SHARE:
            self.surplus += 1
            self._late[writer] = data

    async def run(
        self, request: stand.Received, writer: asyncio.StreamWriter
    ) -> None:
        """Streams the answer."""
        self.runs[request.id] += 1
        self._lab.record.note(f"{self.name} runs {request.id}")
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Wayslip-Request-Id: {request.id}\r\n"
            f"Wayslip-Server-Seal: {stand.SEAL}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        whole = head
        writer.write(head)
        for number in range(1, _EVENTS + 1):
            await asyncio.sleep(_EVENT_SECONDS)
            event = f"id: {number}\ndata: {request.id}\n\n".encode()
            part = b"%x\r\n%s\r\n" % (len(event), event)
            whole += part
            writer.write(part)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self._note_answer(writer, whole + b"0\r\n\r\n")


class Play:
    """Clients of all gateways, and what they were answered."""

    def __init__(self, lab: stand.Lab) -> None:
        self._lab = lab
        self.answers: dict[str, stand.Answer] = {}
        self._end = time.monotonic() + _PLAY_SECONDS

    async def send(self, gateway: stand.Gateway, name: str, model: str) -> None:
        """Sends requests one after the other on a kept connection."""
        rng = random.Random(name)
        number = 0
        reader: asyncio.StreamReader | None = None
        while time.monotonic() < self._end:
            number += 1
            if reader is None:
                reader, writer = await asyncio.open_connection(*gateway.front)
            request_id = f"{name}-{number}"
            writer.write(
                stand.format_request(
                    "POST",
                    "/triage/q",
                    request_id,
                    15_000,
                    b"x" * 400,
                    Wayslip_Model=model,
                    Wayslip_Token_Count="40,22",
                    Wayslip_Prompt_Prefix=f"{rng.randrange(1 << 31):x}:40",
                )
            )
            self._lab.record.note(f"{name} sends {request_id}")
            answer = await stand.read_answer(reader)
            self.answers[request_id] = answer
            self._lab.record.note(
                f"{request_id} answered {answer.status} whole={answer.is_whole}"
            )
            is_over = answer.headers.get("connection", "") == "close"
            if not answer.is_whole or is_over:
                writer.close()
                reader = None
            if answer.status == 503:
                wait = float(answer.headers.get("retry-after", "0.1"))
                await asyncio.sleep(min(wait, 5.0))
            await asyncio.sleep(rng.uniform(0.0, 0.1))


async def case(lab: stand.Lab, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    engines = [Engine(f"i-{m}", m, lab) for m in _MODELS]
    zones = ["glasgow-hall", "edinburgh-hall", "stirling-hall"] * 2
    await lab.start(make_manifest(), list(engines), zones)
    play = Play(lab)
    for engine in engines[: round(len(engines) * _FAULTY_SHARE)]:
        engine.is_faulty = has_trouble
    await asyncio.gather(
        *(
            play.send(gateway, f"{gateway.name}-{model}-{n}", model)
            for gateway in lab.gateways
            for model in _MODELS
            for n in range(_CLIENTS_PER_MODEL)
        )
    )
    runs: collections.Counter[str] = collections.Counter()
    for engine in engines:
        runs.update(engine.runs)
    statuses = collections.Counter(a.status for a in play.answers.values())
    refused = [
        r for r, a in play.answers.items() if a.status in (408, 421, 429, 503)
    ]
    broken = [r for r in refused if runs[r]]
    twice = [r for r, n in runs.items() if n > 1]
    for request_id in broken:
        lab.record.say(
            f"REFUSED: {request_id} was answered"
            f" {play.answers[request_id].status}, and an engine ran it"
        )
    for request_id in twice:
        lab.record.say(f"TWICE: {request_id} ran {runs[request_id]} times")
    lab.record.say(
        f"answers by status: {dict(statuses)}; engines gave"
        f" {sum(e.answers for e in engines)} answers,"
        f" {sum(e.surplus for e in engines)} of them twice;"
        f" {len(broken)} refused that ran, {len(twice)} ran twice"
    )
    return bool(broken or twice)


if __name__ == "__main__":
    sys.exit(stand.run_case(pathlib.Path(__file__).parent, case))
