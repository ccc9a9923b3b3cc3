"""A gateway with stand-ins of the platform, all in one event loop."""

import asyncio
import contextlib
import dataclasses
import functools
import json

from soak import links as links_module
from standins import platform_client
from standins import platform_engine
from standins import platform_site
from standins import platform_store
from standins import ports
from tests.gateway import steady_clock
from wayslip import metrics
from wayslip.cli import gateway as cli
from wayslip.gateway import daemon
from wayslip.gateway import options as options_module
from wayslip.gateway.sharing import configuration
from wayslip.gateway.sharing import distribution

HOST = ports.make_own_host()


def make_address():
    return f"{HOST}:{ports.find_free(HOST)}"


def make_options(name, store, data_hall="hall-1"):
    return options_module.Options(
        name=name,
        ip=HOST,
        data_hall=data_hall,
        callers=make_address(),
        readiness=make_address(),
        store=store,
        peers=make_address(),
        metrics_port=ports.find_free(HOST),
        bounds=options_module.Bounds(grace=5.0),
    )


def replace_peers(options, peers):
    """Returns the options with another peer address."""
    return dataclasses.replace(options, peers=peers)


def make_distribution(manifest, bytes_per_s):
    """Returns the distribution of an instance with a configuration."""
    options = make_options("g1", "127.0.0.1:1")
    holder = configuration.Holder()
    holder.offer(manifest)
    return distribution.Distribution(
        dataclasses.replace(options, bytes_per_s=bytes_per_s),
        holder,
        None,
        lambda: None,
        list,
        metrics.Metrics(),
    )


class System:
    """Store, endpoints and one gateway."""

    def __init__(self):
        self.store = platform_store.PlatformStore()
        self.engines = {}
        self.gateway = None
        self.options = None
        # Links to endpoints that a test can cut, by gateway.
        self.links = {}
        self._tasks = {}

    async def start(self, with_manifest=True):
        address = await self.store.start()
        if with_manifest:
            self.store.put("config", "main", platform_site.manifest())
        self.options = make_options("g1", address)
        self.gateway = self._launch(self.options)
        await self.until(self.gateway.is_ready if with_manifest else self.is_up)

    def _launch(self, options):
        gateway = daemon.Gateway(options, cli.make_platform(options))
        self._tasks[gateway] = asyncio.create_task(gateway.run())
        return gateway

    async def join(self, name, bounds=None):
        """Adds a gateway; returns it once the lease holder is in contact."""
        options = make_options(name, self.options.store)
        gateway = self._launch(
            dataclasses.replace(options, bounds=bounds or options.bounds)
        )
        await self._until_in_contact(gateway)
        return gateway

    async def join_all(self, count, data_hall):
        """Adds gateways to a data hall; returns them once they know all."""
        gateways = [
            self._launch(
                make_options(f"{data_hall}-{n}", self.options.store, data_hall)
            )
            for n in range(count)
        ]
        for gateway in gateways:
            await self._until_in_contact(gateway)
            peers = gateway._peer_broadcast.list_peers
            await self.until(lambda p=peers: len(p()) == len(self._tasks))
        return gateways

    async def _until_in_contact(self, gateway):
        count = len(self._tasks)
        await self.until(lambda: gateway._placement.instances == count)
        await self.until(gateway.is_ready)

    def install_links(self, gateway):
        """Has a gateway connect to endpoints through links that can be cut."""
        links = self.links[gateway] = links_module.Links()
        gateway.paths.dial = links.connect
        gateway._tunnels._server.connector = links.connect_tunnel
        pool = gateway._platform.engines._pool
        seconds = pool._connect_seconds
        # Open connections lead past the links.
        pool.close()
        gateway._requests.close()
        pool.open = lambda address: links.connect(address, seconds)

    async def kill(self, gateway):
        """Stops a gateway abruptly, without a planned stop."""
        gateway._stopping.set()
        task = self._tasks.pop(gateway)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        for task in gateway._tasks:
            task.cancel()
        gateway._planner.end()
        gateway._callers.abort_all()
        gateway._hub.close()

    def is_up(self):
        return self.gateway._endpoints.watcher.is_synced

    async def add(self, name, service, models=(), script=None, **fields):
        engine = platform_engine.PlatformEngine(name)
        engine.models = {m: [] for m in models}
        if script is not None:
            engine.script = script
        address = await engine.start()
        self.engines[name] = engine
        self.store.put(
            "servers",
            name,
            platform_site.entry(service, address, models, **fields),
        )
        await self.until(lambda: name in self.gateway.view.tracked)
        return engine

    async def until(self, check, seconds=10.0):
        async with asyncio.timeout(seconds):
            while not check():
                self._raise_failure()
                await asyncio.sleep(0.01)

    def _raise_failure(self):
        """Raises the error of a gateway that ended without being stopped."""
        for gateway, task in self._tasks.items():
            if task.done() and not gateway._stopping.is_set():
                task.result()

    def print_states(self):
        """Prints the state of all gateways."""
        for gateway in self._tasks:
            print(json.dumps(gateway.dump(), default=str))

    async def stop(self):
        for gateway in list(self._tasks):
            await self.kill(gateway)
        for engine in self.engines.values():
            engine.stop()
        for links in self.links.values():
            links.close()
        self.store.stop()

    async def ask(self, path, request_id="r1", method="GET", at=None, **fields):
        client = await self.connect(at)
        await client.send(path, request_id, method, **fields)
        return await client.read()

    async def connect(self, gateway=None):
        options = gateway._options if gateway else self.options
        host, _, port = options.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        return platform_client.Client(reader, writer)


def run(test):
    """Decorates a coroutine test that gets a started system."""

    @functools.wraps(test)
    def wrapper():
        async def body():
            system = System()
            await system.start()
            try:
                async with asyncio.timeout(30):
                    await test(system)
            except BaseException:
                # Pytest prints this with a failed test.
                system.print_states()
                raise
            finally:
                await system.stop()

        with steady_clock.run() as runner:
            runner.run(body())

    # Otherwise pytest takes the parameter of the wrapped test for a fixture.
    del wrapper.__wrapped__
    return wrapper
