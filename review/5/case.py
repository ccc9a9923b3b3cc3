"""A stream that is repeated before its first event loses that event."""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import time
from typing import Any

from review import stand

_MODEL = "m1"
_VERSIONS = ("v1", "v2", "v1", "v2", "v1", "v2")
_SLOTS, _QUEUE = 4, 1
_FIRST_EVENT_SECONDS = 0.15
_EVENT_SECONDS = 0.03
_EVENTS = 11
_CLIENTS = 10
_PLAY_SECONDS = 60.0
_FREEZE_EVERY_SECONDS = 4.0
_FREEZE_SECONDS = 1.0


def make_manifest() -> dict[str, Any]:
    """Returns the operator's manifest."""
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
                "max_attempts": 3,
                "resumable": True,
                "sticky": True,
            }
        ],
        "services": [
            {
                "name": "member-assist",
                "max_conns": 370,
                "engine": {
                    "slots": _SLOTS,
                    "kv_capacity": 119_473,
                    "weights_mb": 80_000.0,
                    "adapter_slots": 5,
                    "loads_per_s": 2.1,
                    "models": [
                        {
                            "name": _MODEL,
                            "weights_mb": 72_700.0,
                            "load_s": 8.6,
                            "disk_s": 1.7,
                            "warm_s": 0.8,
                            "adapters": 0,
                            "adapter_mb": 66.0,
                        }
                    ],
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
    """An engine of one software version, which goes on with streams."""

    def __init__(self, name: str, version: str, lab: stand.Lab) -> None:
        super().__init__(name, "member-assist", _SLOTS, _QUEUE, _MODEL)
        self._version = version
        self._lab = lab

    def make_entry(self, zone: str) -> dict[str, Any]:
        """Returns its entry in the platform's store."""
        return {**super().make_entry(zone), "version": self._version}

    async def refuse(
        self, request: stand.Received, writer: asyncio.StreamWriter, status: int
    ) -> None:
        """Refuses a request."""
        self._lab.record.note(f"{self.name} refuses {request.id} {status}")
        await super().refuse(request, writer, status)

    async def run(
        self, request: stand.Received, writer: asyncio.StreamWriter
    ) -> None:
        """Streams the events after the last one that the client has."""
        last = int(request.headers.get("last-event-id", 0))
        self._lab.record.note(
            f"{self.name} ({self._version}) runs {request.id}"
            f" after event {last}"
        )
        await asyncio.sleep(_FIRST_EVENT_SECONDS)
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Wayslip-Request-Id: {request.id}\r\n"
                f"Wayslip-Server-Seal: {stand.SEAL}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(last + 1, _EVENTS + 1):
            event = f"id: {number}\ndata: {self._version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.is_closing():
                return
            await asyncio.sleep(_EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")


def list_ids(body: bytes) -> list[int]:
    """Returns the ids of a stream's events."""
    return [
        int(line[3:]) for line in body.splitlines() if line.startswith(b"id:")
    ]


async def send(
    lab: stand.Lab,
    gateway: stand.Gateway,
    name: str,
    end: float,
    answers: dict[str, stand.Answer],
) -> None:
    """Sends requests one after the other on a kept connection."""
    rng = random.Random(name)
    number = 0
    reader: asyncio.StreamReader | None = None
    while time.monotonic() < end:
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
                request_id.encode() * 20,
                Wayslip_Model=_MODEL,
                Wayslip_Token_Count="40,22",
                Wayslip_Prompt_Prefix=f"{rng.randrange(1 << 31):x}:40",
            )
        )
        answer = await stand.read_answer(reader)
        answers[request_id] = answer
        lab.record.note(
            f"{request_id} answered {answer.status} whole={answer.is_whole}"
            f" events={list_ids(answer.body)}"
        )
        is_over = answer.headers.get("connection", "") == "close"
        if not answer.is_whole or is_over:
            writer.close()
            reader = None
        wait = 0.0
        if answer.status == 503:
            wait = min(float(answer.headers.get("retry-after", "0.1")), 5.0)
        await asyncio.sleep(wait + rng.uniform(0.1, 0.5))


async def freeze(lab: stand.Lab, gateway: stand.Gateway, end: float) -> None:
    """Freezes a machine for a second, now and then."""
    while time.monotonic() + _FREEZE_EVERY_SECONDS < end:
        await asyncio.sleep(_FREEZE_EVERY_SECONDS - _FREEZE_SECONDS)
        lab.record.note(f"{gateway.name} freezes")
        gateway.send(signal.SIGSTOP)
        await asyncio.sleep(_FREEZE_SECONDS)
        gateway.send(signal.SIGCONT)
        lab.record.note(f"{gateway.name} wakes")


async def case(lab: stand.Lab, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    engines = [
        Engine(f"i-{n}", version, lab) for n, version in enumerate(_VERSIONS)
    ]
    zones = ["glasgow-hall", "edinburgh-hall", "stirling-hall", "glasgow-hall"]
    await lab.start(make_manifest(), list(engines), zones)
    await asyncio.sleep(2.0)
    end = time.monotonic() + _PLAY_SECONDS
    answers: dict[str, stand.Answer] = {}
    *serving, frozen = lab.gateways
    tasks = [
        send(lab, gateway, f"{gateway.name}-{n}", end, answers)
        for gateway in serving
        for n in range(_CLIENTS)
    ]
    if has_trouble:
        tasks.append(freeze(lab, frozen, end))
    await asyncio.gather(*tasks)
    statuses = collections.Counter(a.status for a in answers.values())
    broken = []
    for request_id, answer in answers.items():
        if answer.status != 200:
            continue
        ids = list_ids(answer.body)
        expected = list(
            range(1, (_EVENTS if answer.is_whole else len(ids)) + 1)
        )
        if ids != expected:
            broken.append(request_id)
            lab.record.say(
                f"ORDER: {request_id}, whole={answer.is_whole}, had the events"
                f" {ids}"
            )
    lab.record.say(
        f"answers by status: {dict(statuses)}; {len(broken)} streams lack"
        " an event"
    )
    return bool(broken)


if __name__ == "__main__":
    sys.exit(stand.run_case(pathlib.Path(__file__).parent, case))
