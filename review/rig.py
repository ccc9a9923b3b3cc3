"""Starts gateways as processes beside stand-ins, and records what happens.

The store and the engines are the project's stand-ins. They run in the process
of the script, so that every request and order is recorded when it arrives. The
gateways run with the command of the deploy file.
"""

import asyncio
import contextlib
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

from standins import platform_engine
from standins import platform_site
from standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The run command of the deploy file.
COMMAND = ("python3", "-m", "wayslip.cli.gateway")
FRONT_PORT = 8149
READY_PORT = 8141
PEERS_PORT = 7380
# Exit codes of a script.
HELD = 0
BROKEN = 1
NOT_RUN = 2
_READY_SECONDS = 12.0
_SETTINGS = """\
node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "hall-1"
region = "region-1"
internal_ports = [7380, 7395]
seeds = []
bootstrap = true
loss_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
hall-1 = "region-1"
[listen]
front = "{ip}:8149"
ready = "{ip}:8141"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = {link_mbps}
disk_mb = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
retry_slack = 58
recovery_s = 12
pass_ms = 120
retry_after_s = 0
fencing_required = false
lease_ms = 3000
thaw_slack_ms = 300
ceiling_window_s = 5
origin_rate_over = 1.1
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"""


class NotRunError(Exception):
    """The case could not be run, so that it shows nothing."""


class Record:
    """What was sent, answered and run, as lines with seconds."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Begins an empty record in the folder of a case."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the beginning."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Adds a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Gateway:
    """A gateway's process."""

    def __init__(
        self, name: str, ip: str, store: str, folder: pathlib.Path, mbps: float
    ) -> None:
        """Writes the settings of a gateway, without starting it."""
        self.name = name
        self.ip = ip
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            _SETTINGS.format(name=name, ip=ip, store=store, link_mbps=mbps),
            encoding="utf-8",
        )
        self._log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment["WAYSLIP_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, env=environment, cwd=ROOT, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process if it runs."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    def list_events(self, *names: str) -> list[str]:
        """Returns the lines of its log about some kinds of events."""
        lines = self._log.read_text(errors="replace").splitlines()
        return [x for x in lines if any(f"event={n} " in x for n in names)]

    async def is_ready(self) -> bool:
        """Whether it answers the readiness question with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
        except OSError:
            return False
        with contextlib.closing(writer):
            writer.write(
                b"GET /wayslip/readiness HTTP/1.1\r\nhost: ready\r\n\r\n"
            )
            try:
                return b" 200 " in await reader.readline()
            except OSError:
                return False


class Deployment:
    """Gateways, a store and engines. Used on the event loop only."""

    def __init__(self, record: Record, ips: list[str], mbps: float) -> None:
        """Initializes without a process.

        Args:
            record: Where starts and ends are recorded.
            ips: Loopback addresses of the gateways.
            mbps: Bandwidth of the gateways' links, for their settings.
        """
        self._record = record
        self._ips = ips
        self._mbps = mbps
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = platform_store.PlatformStore()
        self.engines: list[platform_engine.PlatformEngine] = []
        self.gateways: list[Gateway] = []

    async def start_store(self, manifest: dict[str, Any]) -> str:
        """Starts the store with a manifest; returns its address."""
        address = await self.store.start()
        self.store.put("config", "main", manifest)
        return address

    async def add_engine(
        self, engine: platform_engine.PlatformEngine, service: str
    ) -> None:
        """Starts an engine and lists it."""
        address = await engine.start()
        entry = platform_site.entry(service, address, engine.models, seq=0)
        self.store.put("servers", engine.name, entry)
        self.engines.append(engine)

    async def start_gateways(self, stores: list[str]) -> None:
        """Starts the gateways at once and waits until all are ready.

        Args:
            stores: For each gateway the address at which it finds the store.
        """
        for number, (ip, store) in enumerate(
            zip(self._ips, stores, strict=True), 1
        ):
            gateway = Gateway(
                f"front-{number}", ip, store, self.folder, self._mbps
            )
            self.gateways.append(gateway)
        for gateway in self.gateways:
            gateway.start()
        self._record.write(f"started {len(self.gateways)} gateways")
        end = time.monotonic() + _READY_SECONDS
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end:
                    raise NotRunError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
        self._record.write("all gateways are ready")

    def stop(self) -> None:
        """Ends all processes and closes all sockets."""
        for gateway in self.gateways:
            gateway.end()
        for engine in self.engines:
            engine.stop()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.write("ended all processes")


def make_ip(last: int, net: int = 90) -> str:
    """Returns a loopback address that differs between scripts that run."""
    return f"127.{net}.{os.getpid() % 250 + 1}.{last}"


def has_trouble() -> bool:
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case: Any, file: str, limit: float) -> None:
    """Runs a case and exits with its code.

    Args:
        case: Coroutine function that plays the case with a record and returns
            an exit code.
        file: Path of the script, beside which the record is written.
        limit: Most seconds that it may take.
    """
    record = Record(pathlib.Path(file).resolve().parent)
    record.write(f"disruption: {'on' if has_trouble() else 'off'}")

    async def play() -> int:
        async with asyncio.timeout(limit):
            return int(await case(record))

    try:
        code = asyncio.run(play())
    except Exception as e:
        # Python's own exit code for an error would say that the rule is broken.
        record.write(f"the case could not run: {type(e).__name__} {e}")
        code = NOT_RUN
    record.write(f"exit {code}")
    record.close()
    sys.exit(code)
