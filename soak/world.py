"""The system under soak: gateway processes, a store and endpoints.

The store and the endpoints are the project's stand-ins and run in the soak's
own process, so that its oracle sees every request and order that arrives. The
gateways reach them through proxies that inject faults.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import os
import pathlib
import resource
import signal
import subprocess
import sys
import time

from soak import conditions as conditions_module
from soak import endpoints
from soak import proxy as proxy_module
from standins import platform_site
from standins import platform_store

GRACE_SECONDS = 4.0
_HEARTBEAT_SECONDS = 0.3
# How long the closes of an ended endpoint's connections take to be forwarded.
_EXIT_SECONDS = 0.05
# Memory that a gateway may use: a process without work takes 35 MB, and slow
# readers may add a buffer on each side, but never a whole answer.
_MAX_GATEWAY_BYTES = 64_000_000
# The checkout of this release.
_TREE = pathlib.Path(__file__).parent.parent.resolve()
# Second octet of the gateways' loopback addresses. The third one distinguishes
# soaks that run at the same time.
_NET_OCTET = 77


@dataclasses.dataclass
class Gateway:
    """A gateway's process and its proxy to the store.

    Attributes:
        sources: Folder of the package of the release that it runs.
        paused_at: When it was last suspended, monotonic seconds.
    """

    name: str
    settings: pathlib.Path
    callers: str
    store_proxy: proxy_module.Proxy
    log: pathlib.Path
    sources: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    started: float = 0.0
    is_stopping: bool = False
    is_paused: bool = False
    paused_at: float = 0.0

    def start(self) -> None:
        """Starts the process."""
        # The sources go before the installed package.
        path = os.pathsep.join([str(self.sources), *sys.path])
        environment = {
            **os.environ,
            "WAYSLIP_SETTINGS": str(self.settings),
            "PYTHONPATH": path,
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                # As deployed, see `deploy/system.toml`.
                [sys.executable, "-S", "-m", "wayslip.cli.gateway"],
                env=environment,
                # Not where another release's package lies.
                cwd=self.settings.parent,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.started = time.monotonic()
        self.is_stopping = self.is_paused = False

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def find_memory(self) -> int:
        """Returns the bytes of memory that the process uses."""
        assert self.process is not None
        try:
            statm = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0
        pages = statm.split()
        return int(pages[1]) * resource.getpagesize() if pages else 0

    @property
    def is_up(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None


class World:
    """The whole system. Used on the event loop only."""

    def __init__(
        self,
        folder: pathlib.Path,
        gateways: int,
        conditions: conditions_module.Conditions,
        other: str | None = None,
    ) -> None:
        """Initializes without a process.

        Args:
            folder: Where settings and logs are written.
            gateways: The number of gateways.
            conditions: What the seed plays besides faults.
            other: Checkout whose release every second gateway runs, None if
                all run this one.
        """
        self._other = None if other is None else pathlib.Path(other).resolve()
        self.folder = folder
        self.conditions = conditions
        self.oracle = endpoints.Oracle()
        self.store = platform_store.PlatformStore()
        self.version = 1
        # Software version of new engines, empty for one of the conditions'.
        self.released = ""
        # Number of endpoints crashed by a request, by the request's body.
        self.poison_crashes: collections.Counter[bytes] = collections.Counter()
        # Refusals a second that the endpoints of a service bear, and how many
        # requests they take, None for any number.
        self.brittle_services: dict[str, tuple[int, int | None]] = {}
        # Most memory that a gateway used, in bytes.
        self.max_memory = 0
        # Number of restarts of gateways, without their first starts.
        self.gateway_starts = 0
        self.endpoints: dict[str, endpoints.Endpoint] = {}
        self.proxies: dict[str, proxy_module.Proxy] = {}
        self.gateways: list[Gateway] = []
        self._gateway_count = gateways
        self._endpoint_count = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts the store, the endpoints and the gateways."""
        address = await self.store.start()
        self.put_manifest()
        for service, count in (("plain", 3), ("models", 3)):
            for _ in range(count):
                await self.add_endpoint(service)
        for number in range(self._gateway_count):
            await self._add_gateway(f"g{number}", address)
        for gateway in self.gateways:
            gateway.start()
        self._tasks.append(asyncio.create_task(self._sync_entries()))

    async def stop(self) -> None:
        """Kills all gateways and closes all sockets."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            if gateway.is_up:
                gateway.send(signal.SIGCONT)
                gateway.send(signal.SIGKILL)
                assert gateway.process is not None
                gateway.process.wait()
            gateway.store_proxy.close()
        for endpoint in self.endpoints.values():
            endpoint.stop()
        for proxy in self.proxies.values():
            proxy.close()
        self.store.stop()

    def put_manifest(self) -> None:
        """Writes the next configuration version, which adds a route."""
        manifest = platform_site.manifest(self.version)
        self.conditions.apply(manifest)
        for known in range(2, self.version + 1):
            manifest["routes"].append(
                platform_site.route(
                    f"v{known}", f"/v{known}/", "idempotent", "plain"
                )
            )
        self.store.put("config", "main", manifest)
        self.version += 1

    # Endpoints

    async def add_endpoint(self, service: str) -> endpoints.Endpoint:
        """Starts an endpoint behind a new proxy and lists it."""
        endpoint, own_address = await self._start_endpoint(service)
        proxy = proxy_module.Proxy(own_address)
        self.proxies[endpoint.name] = proxy
        self._put_entry(endpoint, await proxy.start())
        return endpoint

    async def crash_and_reuse_address(
        self, crashed: endpoints.Endpoint
    ) -> None:
        """Crashes an endpoint and starts another one at its address.

        The entry of the crashed one stays for 1 s, as until its heartbeats are
        found missing.
        """
        item = self.store.objects["servers"].get(crashed.name)
        if item is None or crashed.name not in self.endpoints:
            return
        endpoint, own_address = await self._start_endpoint(crashed.service)
        if crashed.name not in self.endpoints:
            # It ended while the other one started, which stays unlisted.
            return
        proxy = self.proxies.pop(crashed.name)
        address = item["spec"]["address"]
        crashed.stop()
        del self.endpoints[crashed.name]
        proxy.retarget(own_address)
        self.proxies[endpoint.name] = proxy
        self._put_entry(endpoint, address)
        await asyncio.sleep(1.0)
        if crashed.name in self.store.objects["servers"]:
            self.store.remove("servers", crashed.name)

    def _replace_crashed(
        self, endpoint: endpoints.Endpoint, body: bytes
    ) -> None:
        """Crashes an endpoint on a request and starts another one."""
        if endpoint.name not in self.endpoints:
            return
        self.poison_crashes[body] += 1
        self._tasks.append(asyncio.create_task(self._end_and_replace(endpoint)))

    async def _end_and_replace(self, endpoint: endpoints.Endpoint) -> None:
        await self.end_endpoint(endpoint, removes_entry_at_once=False)
        await self.add_endpoint(endpoint.service)

    async def _start_endpoint(
        self, service: str
    ) -> tuple[endpoints.Endpoint, str]:
        self._endpoint_count += 1
        endpoint = endpoints.Endpoint(f"e{self._endpoint_count}")
        endpoint.attach_oracle(
            self.oracle, service, self._replace_crashed, self.conditions
        )
        versions = self.conditions.versions
        endpoint.version = versions[self._endpoint_count % len(versions)]
        if service == "models" and self.released:
            endpoint.version = self.released
        endpoint.brittle_services = self.brittle_services
        endpoint.report_lag = 0.1
        if service == "models":
            endpoint.models = {f"m{1 + self._endpoint_count % 3}": []}
        own_address = await endpoint.start()
        self.endpoints[endpoint.name] = endpoint
        return endpoint, own_address

    def count_endpoints(self, service: str) -> int:
        """Returns how many endpoints a service has."""
        return sum(e.service == service for e in self.endpoints.values())

    def _put_entry(self, endpoint: endpoints.Endpoint, address: str) -> None:
        entry = platform_site.entry(
            endpoint.service,
            address,
            endpoint.models,
            seq=0,
            version=endpoint.version,
        )
        self.store.put("servers", endpoint.name, entry)

    async def end_endpoint(
        self, endpoint: endpoints.Endpoint, removes_entry_at_once: bool
    ) -> None:
        """Stops an endpoint at once.

        Args:
            endpoint: The endpoint.
            removes_entry_at_once: Whether its entry is removed without a delay
                of 1 s.
        """
        if endpoint.name not in self.endpoints:
            return
        # The kernel closes the connections of a process in order.
        self.proxies[endpoint.name].stop_listening()
        endpoint.exit()
        await asyncio.sleep(_EXIT_SECONDS)
        if endpoint.name not in self.endpoints:
            return
        self.proxies[endpoint.name].set_fault(proxy_module.LinkFault.RESET)
        self.proxies[endpoint.name].close()
        del self.endpoints[endpoint.name]
        if not removes_entry_at_once:
            await asyncio.sleep(1.0)
        if endpoint.name in self.store.objects["servers"]:
            self.store.remove("servers", endpoint.name)

    async def drain_endpoint(
        self, endpoint: endpoints.Endpoint, seconds: float
    ) -> None:
        """Lists an endpoint as draining, then stops it after some seconds."""
        if endpoint.name not in self.store.objects["servers"]:
            # It crashed, or its entry expired during a store outage.
            return
        spec = self.store.objects["servers"][endpoint.name]["spec"]
        spec = {**spec, "state": "draining"}
        self.store.put("servers", endpoint.name, spec)
        endpoint.draining_since = time.monotonic()
        await asyncio.sleep(seconds)
        await self.end_endpoint(endpoint, True)

    async def _sync_entries(self) -> None:
        """Updates the models in endpoint entries, as heartbeats do."""
        while True:
            await asyncio.sleep(_HEARTBEAT_SECONDS)
            if self.store.faults.is_down or self.store.faults.is_silent:
                continue
            for name, endpoint in list(self.endpoints.items()):
                item = self.store.objects["servers"].get(name)
                models = [
                    {"name": m, "version": 1, "adapters": list(a)}
                    for m, a in endpoint.models.items()
                ]
                if item is not None and item["spec"]["models"] != models:
                    spec = {**item["spec"], "models": models}
                    self.store.put("servers", name, spec)

    # Gateways

    async def _add_gateway(self, name: str, store: str) -> None:
        proxy = proxy_module.Proxy(store)
        address = await proxy.start()
        # Each gateway has an IP address of its own, so that no other connection
        # takes its ports while the process is restarting.
        ip = f"127.{_NET_OCTET}.{os.getpid() % 250}.{len(self.gateways) + 1}"
        callers, ready, port = f"{ip}:8149", f"{ip}:8141", 7380
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            f'node_name = "{name}"\n'
            f'ip = "{ip}"\n'
            'zone = "hall-1"\n'
            f"internal_ports = [{port}, {port + 15}]\n"
            f'[listen]\nfront = "{callers}"\nready = "{ready}"\n'
            f"[bounds]\ngrace_s = {GRACE_SECONDS}\n"
            f"lease_ms = {int(endpoints.LEASE_SECONDS * 1000)}\n"
            f'[platform]\naddress = "{address}"\n'
        )
        log = self.folder / f"{name}.log"
        is_second = len(self.gateways) % 2 == 1
        tree = self._other if self._other and is_second else _TREE
        self.gateways.append(
            Gateway(name, settings, callers, proxy, log, tree / "src")
        )

    def is_own(self, gateway: Gateway) -> bool:
        """Whether a gateway runs this checkout's release."""
        return gateway.sources == _TREE / "src"

    def check_processes(self) -> None:
        """Restarts ended gateways; reports those that ended unexpectedly."""
        for gateway in self.gateways:
            if gateway.is_up:
                self._check_memory(gateway)
                continue
            assert gateway.process is not None
            code = gateway.process.returncode
            expected = {-signal.SIGKILL}
            if gateway.is_stopping:
                # A process that is still starting may have no handler for
                # SIGTERM yet, and has nothing to finish.
                expected |= {0, -signal.SIGTERM}
            if code not in expected:
                self.oracle.report_violation(f"EXIT {gateway.name} code {code}")
            self.gateway_starts += 1
            gateway.start()

    def _check_memory(self, gateway: Gateway) -> None:
        """Reports each new maximum above the limit."""
        used = gateway.find_memory()
        if used <= self.max_memory:
            return
        self.max_memory = used
        if used > _MAX_GATEWAY_BYTES:
            self.oracle.report_violation(
                f"MEMORY {gateway.name} uses {used / 1e6:.0f} MB"
            )


@contextlib.asynccontextmanager
async def run_world(
    folder: pathlib.Path,
    gateways: int,
    conditions: conditions_module.Conditions,
    other: str | None = None,
) -> AsyncIterator[World]:
    """Starts a world and stops it on exit, also after errors."""
    world = World(folder, gateways, conditions, other)
    try:
        await world.start()
        yield world
    finally:
        await world.stop()
