"""Lets another writer put an entry into the list of endpoints.

The entry names a service that no manifest names, and this name ends in the
middle of a character: JSON has it as an escaped surrogate without its other
half. The writer changes its entry every `WRITE_SECONDS`. A process that ends
is started again after `RESTART_SECONDS`. Before the first write, clients post
requests that may not be repeated, on connections that have carried others, and
an engine works on them for `WORK_SECONDS`.
"""

import asyncio
import collections
import contextlib
import time

from review import rig
from standins import platform_client
from standins import platform_engine
from standins import platform_site

GATEWAYS = 3
WRITES = 6
WRITE_SECONDS = 9.0
# Requests under way at each gateway at the first write.
POSTED = 3
WORK_SECONDS = 9.0
DEADLINE_MS = 15_000
RESTART_SECONDS = 1.0
# What JSON has as "kiosk-\ud83d", the first half of an emoji.
FOREIGN_SERVICE = "kiosk-\ud83d"
CALL_SECONDS = 0.25
# Of the rules: ends of processes on a machine, and closed connections.
ENDS_ALLOWED = 2
CLOSES_ALLOWED = 3


class Watch:
    """Starts processes again that have ended, and counts how often."""

    def __init__(self, record: rig.Record, deployment: rig.Deployment) -> None:
        """Initializes without an end."""
        self._record = record
        self._deployment = deployment
        self.ends: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Looks after the processes until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            for gateway in self._deployment.gateways:
                process = gateway.process
                if process is None or process.poll() is None:
                    continue
                self.ends[gateway.name] += 1
                self._record.write(
                    f"{gateway.name} has ended by itself,"
                    f" exit code {process.returncode}"
                )
                gateway.process = None
                asyncio.get_running_loop().call_later(
                    RESTART_SECONDS, self._restart, gateway
                )

    def _restart(self, gateway: rig.Gateway) -> None:
        gateway.start()
        self._record.write(f"{gateway.name} is started again")


async def ask(ip: str, request_id: str) -> int:
    """Sends a request that may be repeated; returns the status or 0."""
    try:
        reader, writer = await asyncio.open_connection(ip, rig.FRONT_PORT)
        with contextlib.closing(writer):
            client = platform_client.Client(reader, writer)
            await client.send("/get/x", request_id, deadline=1500)
            async with asyncio.timeout(2.0):
                return (await client.read()).status
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0


async def answer(
    engine: platform_engine.PlatformEngine,
    request: platform_engine.ReceivedRequest,
    connection: platform_engine.Connection,
) -> None:
    """Works for a while on posted requests; answers others at once."""
    if request.target == "/once/work":
        await asyncio.sleep(WORK_SECONDS)
    await connection.answer(request, b"done")


async def post(record: rig.Record, ip: str, name: str) -> bool:
    """Posts a request on a kept connection; returns whether it was closed."""
    reader, writer = await asyncio.open_connection(ip, rig.FRONT_PORT)
    with contextlib.closing(writer):
        client = platform_client.Client(reader, writer)
        await client.send("/once/first", f"{name}-first", "POST", b"hi")
        if (await client.read()).status != 200:
            raise rig.NotRunError("the first request was not served")
        await client.send(
            "/once/work", name, "POST", b"hi", deadline=DEADLINE_MS
        )
        record.write(f"client posted {name}")
        try:
            got = await client.read()
        except (OSError, asyncio.IncompleteReadError) as e:
            record.write(f"no answer to {name}: {type(e).__name__}")
            return True
    record.write(f"client got {got.status} for {name}")
    return False


async def send_load(
    record: rig.Record, ips: list[str], statuses: list[tuple[float, int]]
) -> None:
    """Sends requests to the gateways in turn, until cancelled.

    A request that gets no answer at one gateway is sent to the others.
    """
    number = 0
    while True:
        number += 1
        status = 0
        for place in range(len(ips)):
            ip = ips[(number + place) % len(ips)]
            status = await ask(ip, f"q{number}-{place}")
            if status == 200:
                break
        statuses.append((time.monotonic(), status))
        record.write(f"client got {status} for q{number} at last")
        await asyncio.sleep(CALL_SECONDS)


async def play(record: rig.Record) -> int:
    """Plays the case."""
    ips = [rig.make_ip(n, 93) for n in range(1, GATEWAYS + 1)]
    deployment = rig.Deployment(record, ips, 1000.0)
    watch = Watch(record, deployment)
    tasks: list[asyncio.Task[None]] = []
    statuses: list[tuple[float, int]] = []
    try:
        manifest = platform_site.manifest()
        for route in manifest["routes"]:
            route["timeout_ms"] = DEADLINE_MS
        store = await deployment.start_store(manifest)
        for number in (1, 2):
            await deployment.add_engine(
                platform_engine.PlatformEngine(f"e{number}", answer), "plain"
            )
        await deployment.start_gateways([store] * GATEWAYS)
        tasks.append(asyncio.create_task(watch.run()))
        tasks.append(asyncio.create_task(send_load(record, ips, statuses)))
        await asyncio.sleep(4.0)
        posted = [
            asyncio.create_task(post(record, ip, f"p{place}-{number}"))
            for place, ip in enumerate(ips, 1)
            for number in range(POSTED)
        ]
        await asyncio.sleep(0.3)
        began = time.monotonic()
        for number in range(WRITES):
            if rig.has_trouble():
                entry = platform_site.entry(
                    FOREIGN_SERVICE, "127.0.0.1:9", cold_ms=number
                )
                deployment.store.put("servers", "kiosk-1", entry)
                record.write("another writer writes its entry kiosk-1")
            await asyncio.sleep(WRITE_SECONDS)
        closes = sum(await asyncio.gather(*posted))
    finally:
        for task in tasks:
            task.cancel()
        for gateway in deployment.gateways:
            for line in gateway.list_events("loop_ended"):
                record.write(f"log of {gateway.name}: {shorten(line)}")
        deployment.stop()
    unserved = sum(s != 200 for at, s in statuses if at > began)
    record.write(f"{unserved} of {len(statuses)} other requests not served")
    return judge(record, watch, closes)


def shorten(line: str) -> str:
    """Returns the time of a line of the log and the error at its end."""
    return f"{line[:20]} loop_ended {line[-92:]}"


def judge(record: rig.Record, watch: Watch, closes: int) -> int:
    """Returns the exit code."""
    record.write(
        f"LOST: {closes} of {POSTED * GATEWAYS} requests were handed to an"
        " engine, and their kept connections were closed without an answer"
    )
    often = [n for n, count in watch.ends.items() if count > ENDS_ALLOWED]
    record.write(
        f"Fault: {dict(watch.ends)} ends by themselves; three or more on"
        f" {len(often)} of {GATEWAYS} machines"
    )
    is_broken = closes > CLOSES_ALLOWED or len(often) >= 2
    return rig.BROKEN if is_broken else rig.HELD


if __name__ == "__main__":
    rig.run(play, __file__, 100.0)
