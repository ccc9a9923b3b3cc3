"""Stand-ins and processes for the scripts of this review.

The store is the project's own stand-in. Engines and clients are written here.
All of them run in the process of the script; gateways are processes of their
own, started with the command of the deploy file.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import logging
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
from typing import Any

from standins import platform_store
from standins import ports

ROOT = pathlib.Path(__file__).parent.parent.resolve()
HOST = "shop.example"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
GRACE_SECONDS = 8.0
_READ_BYTES = 64 * 1024
_START_SECONDS = 20.0

# The stand-in of the store logs what its end cuts.
logging.getLogger("wayslip").addHandler(logging.NullHandler())


class CannotRunError(Exception):
    """The case can't run here."""


class Record:
    """Writes what happens into `record.txt` of a case's folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Writes a line with the time."""
        seconds = time.monotonic() - self._began
        self._file.write(f"{seconds:8.3f}  {text}\n")

    def say(self, text: str) -> None:
        """Writes a line and prints it."""
        self.note(text)
        print(text, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


# Engines


@dataclasses.dataclass(frozen=True)
class Received:
    """A request as an engine received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The request's id."""
        return self.headers.get("wayslip-request-id", "")


def format_answer(
    request_id: str, status: int, body: bytes, **headers: str
) -> bytes:
    """Returns a whole answer; headers have _ for - in their names."""
    named = {"Wayslip-Request-Id": request_id, "Wayslip-Server-Seal": SEAL}
    named.update({k.replace("_", "-"): v for k, v in headers.items()})
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{k}: {v}" for k, v in named.items() if v]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str]]:
    """Reads the head of a request: method, target and headers."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return method, target, headers


class Engine:
    """A sound engine of the platform.

    Attributes:
        name: Its id.
        models: The models that it holds; empty for a plain service.
        orders: Orders that it has taken.
        places: Requests that it works on or queues at once.
    """

    def __init__(
        self, name: str, service: str, slots: int, queue: int, *models: str
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.places = slots + queue
        self.models = list(models)
        self.orders = 0
        self.address = ""
        self.taken = 0
        self._slot = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def make_entry(self, zone: str) -> dict[str, Any]:
        """Returns its entry in the platform's store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_ms": 0,
            "seq": 1,
            "models": self._list_models(),
        }

    def _list_models(self) -> list[dict[str, Any]]:
        return [{"name": m, "version": 1, "adapters": []} for m in self.models]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                method, target, headers = await read_head(reader)
                await self.before_answer(writer)
                if target == "/wayslip/report":
                    writer.write(self._format_report())
                elif target == "/wayslip/order":
                    length = int(headers.get("content-length", 0))
                    order = json.loads(await reader.readexactly(length))
                    writer.write(self._answer_order(order))
                else:
                    await self._answer(reader, writer, method, target, headers)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def before_answer(self, writer: asyncio.StreamWriter) -> None:
        """Called once the next request's head was read."""

    def _format_report(self) -> bytes:
        report = {
            "stage": "both",
            "models": self._list_models(),
            "busy": False,
            "seq": self.orders,
            "waiting": max(self.taken - self.slots, 0),
            "running": min(self.taken, self.slots),
            "kv_used": 0,
            "kv_total": 90000,
            "handles": 0,
        }
        return format_answer("", 200, json.dumps(report).encode())

    def _answer_order(self, order: dict[str, Any]) -> bytes:
        """Takes no order for a model: the cases need none to be carried out."""
        held = order["model"] in self.models
        is_done = held if order["operation"] == "load" else not held
        return format_answer("", 200 if is_done else 409, b"{}")

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: dict[str, str],
    ) -> None:
        body = await self.read_body(reader, headers)
        request = Received(method, target, headers, body)
        named = headers.get("wayslip-target-instance", self.name)
        model = headers.get("wayslip-model", "").partition("/")[0]
        if named != self.name or (model and model not in self.models):
            await self.refuse(request, writer, 421)
            return
        if self.taken >= self.places:
            await self.refuse(request, writer, 503)
            return
        self.taken += 1
        try:
            async with self._slot:
                await self.run(request, writer)
        finally:
            self.taken -= 1

    async def read_body(
        self, reader: asyncio.StreamReader, headers: dict[str, str]
    ) -> bytes:
        """Reads the body of a request."""
        return await reader.readexactly(int(headers.get("content-length", 0)))

    async def refuse(
        self, request: Received, writer: asyncio.StreamWriter, status: int
    ) -> None:
        """Answers that it did not run a request."""
        writer.write(
            format_answer(request.id, status, b"", Wayslip_Not_Executed="1")
        )

    async def run(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        """Runs a request and answers it."""
        writer.write(format_answer(request.id, 200, b"done"))


# Clients


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer as a client received it; status 0 is a closed connection."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads an answer with a length or chunks, or one that ends early."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(0, {}, b"", False)
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    status, body = int(first.split(" ")[1]), b""
    try:
        if "transfer-encoding" not in headers:
            length = int(headers.get("content-length", 0))
            body = await reader.readexactly(length)
            return Answer(status, headers, body, True)
        while True:
            size = int(await reader.readline(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return Answer(status, headers, body, True)
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(status, headers, body, False)


def format_request(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b"",
    **headers: str,
) -> bytes:
    """Returns a request; headers have _ for - in their names."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Wayslip-Request-Id: {request_id}",
        f"Wayslip-Deadline-Ms: {deadline_ms}",
    ]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# Gateways


class Gateway:
    """A process of the gateway."""

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        ip: str,
        zone: str,
        store: str,
        **bounds: float,
    ) -> None:
        self.name = name
        first = ports.find_free(ip)
        while not all(ports.is_free(ip, first + n) for n in range(4)):
            first = ports.find_free(ip)
        self.front, self.ready = (ip, first + 2), (ip, first + 3)
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        known = {
            "drain_ms": 2000,
            "grace_s": GRACE_SECONDS,
            "config_apply_ms": 2000,
            "budget_ratio": 0.2,
            "budget_window_s": 10,
            "retry_slack": 58,
            "fencing_required": "false",
            "lease_ms": 3000,
            "ceiling_window_s": 5,
            "origin_rate_over": 1.1,
            **bounds,
        }
        lines = [f"{k} = {v}" for k, v in known.items()]
        self._settings.write_text(
            f'node_name = "{name}"\nip = "{ip}"\nzone = "{zone}"\n'
            'region = "scot-central"\nserves = ["front"]\nbootstrap = true\n'
            f"internal_ports = [{first}, {first + 1}]\n"
            f'[listen]\nfront = "{ip}:{first + 2}"\n'
            f'ready = "{ip}:{first + 3}"\n'
            "[limits]\ncpu_share = 0.537\ncores = 2\nmemory_mb = 300\n"
            "max_fds = 4100\nlink_mbps = 1000.0\n"
            "[bounds]\n" + "\n".join(lines) + "\n"
            f'[platform]\naddress = "{store}"\nform = "objects"\n',
            encoding="utf-8",
        )

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        command = tomllib.loads(text)["roles"]["gateway"]["run"].split()
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "WAYSLIP_SETTINGS": str(self._settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """Ends the process at once."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    async def is_ready(self) -> bool:
        """Whether it answers 200 to the balancer."""
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
        except OSError:
            return False
        writer.write(b"GET /wayslip/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = await read_answer(reader)
        writer.close()
        return answer.status == 200


class Lab:
    """A small deployment: a store, engines and gateways."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = platform_store.PlatformStore()
        self.engines: list[Engine] = []
        self.gateways: list[Gateway] = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.host = ports.make_own_host()
        self.store_address = ""

    async def start(
        self,
        manifest: dict[str, Any],
        engines: list[Engine],
        zones: list[str],
        **bounds: float,
    ) -> None:
        """Starts everything; one gateway for each entry of `zones`."""
        self.store_address = await self.store.start()
        self.store.put("config", "main", manifest)
        for number, engine in enumerate(engines):
            await engine.start(self.host)
            zone = zones[number % len(zones)]
            self.store.put("servers", engine.name, engine.make_entry(zone))
        self.engines = engines
        base = self.host.rpartition(".")[0]
        last = int(self.host.rpartition(".")[2])
        for number, zone in enumerate(zones):
            ip = f"{base}.{(last + number + 1) % 250 + 1}"
            gateway = Gateway(
                self.folder,
                f"front-{number + 1}",
                ip,
                zone,
                self.store_address,
                **bounds,
            )
            self.gateways.append(gateway)
            gateway.start()
        end = time.monotonic() + _START_SECONDS
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end:
                    raise CannotRunError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)

    def stop(self) -> None:
        """Ends all processes that were started, and removes the folder."""
        for gateway in self.gateways:
            gateway.end()
        for engine in self.engines:
            engine.stop()
        self.store.stop()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(
    folder: pathlib.Path,
    case: Callable[[Lab, bool], Awaitable[bool]],
    limit_seconds: float = 110.0,
) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if not, 2 on errors.

    Args:
        folder: Where the record goes.
        case: Gets the deployment and whether there is a disruption; returns
            whether the rule was broken.
        limit_seconds: Time limit for all of it.
    """
    record = Record(folder)
    lab = Lab(record)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> bool:
        try:
            async with asyncio.timeout(limit_seconds):
                return await case(lab, has_trouble)
        finally:
            lab.stop()

    try:
        is_broken = asyncio.run(play())
    except (CannotRunError, TimeoutError, OSError) as e:
        record.say(f"the case could not run: {type(e).__name__} {e}")
        return 2
    finally:
        record.close()
    return 1 if is_broken else 0
