"""Runs placement in real gateways over simulated engines, store and network.

Everything runs in simulated time on one event loop, and all random draws come
from one seed. The gateways are complete except for their servers.
"""

import asyncio
import dataclasses
import random

from tests.stateful import order_engine
from tests.stateful import order_network
from wayslip.gateway import daemon
from wayslip.gateway import dialect
from wayslip.gateway import options as options_module
from wayslip.gateway import store as store_module
from wayslip.gateway.planning import engines as engines_module

# Bytes per second (1 Gbit/s).
FAST_LINK = 125_000_000


class Instance:
    """One gateway without its servers, and the requests that it receives."""

    def __init__(self, world, name, address, cores=1.0):
        self.world = world
        self.address = address
        self.options = options_module.Options(
            name, "127.0.0.1", "h", "", "", "", f"{address[0]}:{address[1]}", 7
        )
        self.options = dataclasses.replace(
            self.options,
            cores=cores,
            bytes_per_s=world.links[name].bytes_per_s,
        )
        platform = daemon.Platform(
            store=order_network.StoreClient(world, name),
            dialect=None,
            engines=order_network.EngineClient(world, name),
            configuration=store_module.Kind("config", None, None),
            configuration_name="main",
            endpoints=store_module.Kind("servers", None, None),
            copies=order_network.CopyClient(world, name),
        )
        self.gateway = self._make(platform)
        self.tasks = [
            asyncio.create_task(work)
            for work in (
                self.gateway._configuration_sync.watcher.run(),
                self.gateway._endpoints.watcher.run(),
                self.gateway.leadership.run(),
                self.gateway._placement.run(),
                self.gateway._placement.watch_holder(),
                self.gateway._planner.run(),
                self.gateway._announcer.run(self.gateway._find_store_progress),
                self.gateway._quarantine.run(),
                self._send_requests(),
            )
        ]

    def _make(self, platform):
        # The servers need addresses although they are never started.
        options = dataclasses.replace(
            self.options, callers="127.0.0.1:1", readiness="127.0.0.1:1"
        )
        gateway = daemon.Gateway(options, platform)
        gateway._hub._transport = order_network.Transport(
            self.world, self.options.name, self.address
        )
        hub = gateway._hub
        hub._rng = self.world.rng
        gateway._configuration_sync.distribution._rng = self.world.rng
        broadcast = hub.broadcast
        # Sorted, since the order of sets differs between processes and would
        # make a seed irreproducible.
        hub.broadcast = lambda message, peers: broadcast(
            message, sorted(peers, key=str)
        )
        return gateway

    def kill(self):
        """Simulates a crash: stops all tasks without notifying peers."""
        self.gateway._planner.end()
        self.gateway._quarantine.close()
        for task in self.tasks:
            task.cancel()

    async def _send_requests(self):
        """Sends requests to engines with the adapter, or requests a load."""
        rng = self.world.rng
        while True:
            await asyncio.sleep(rng.expovariate(self.world.rate))
            model, adapter = self.world.draw_item()
            traits = dialect.Traits(
                "r", "h", "/", 5.0, model, adapter, prompt_tokens=1000
            )
            placement = self.gateway._placement
            placement.note_demand(
                order_engine.SERVICE, traits, 0.05, self.world.can_wait(model)
            )
            name = self._find(model, adapter)
            self.world.note_request(model, adapter, name is not None)
            if name is None:
                task = asyncio.create_task(
                    placement.request_item(order_engine.SERVICE, traits, 0.4)
                )
                self.world.track_task(task)
                continue
            engine = self.world.engines.get(name)
            if engine is not None:
                engine.mark_in_use(model, adapter, rng.uniform(0.1, 1.5))

    def _find(self, model, adapter):
        view = self.gateway.view
        found = [
            t.endpoint.name
            for t in view.of_service(order_engine.SERVICE)
            if view.holds(t.endpoint, model, adapter)
        ]
        return self.world.rng.choice(found) if found else None


class World:
    """The simulated system of one seed."""

    def __init__(
        self,
        seed,
        engines=5,
        instances=4,
        rate=8.0,
        cores=None,
        links=None,
    ):
        self.rng = random.Random(seed)
        random.seed(seed)
        self.loop = asyncio.get_running_loop()
        self.rate = rate
        # Cores by instance number; other instances have one.
        self.cores = cores or {}
        # Bytes per second by instance number; others have `FAST_LINK`.
        self.link_rates = links or {}
        self.links = {}
        self.faults = order_network.Faults()
        self.adapter_seconds = order_engine.ADAPTER_SECONDS
        self.overcommits = []
        # Orders in order of arrival: time, engine, sender, fencing token.
        self.orders = []
        self.orders_taken = 0
        self.restarts = 0
        self.demand_shift = 0
        self.started = 0
        self.store = order_network.Store(self)
        self.store.put("config", "main", order_engine.make_manifest())
        self.engines = {}
        self.instances = {}
        self._tasks = set()
        for _ in range(engines):
            self.add_engine()
        for number in range(instances):
            self.start(number)

    @property
    def now(self):
        return self.loop.time()

    def call_later(self, seconds, call, *args):
        self.loop.call_later(seconds, call, *args)

    def track_task(self, task):
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def draw_item(self):
        """Draws a model and an adapter; `demand_shift` moves the demand."""
        rank = min(int(self.rng.expovariate(0.5)), order_engine.MODELS - 1)
        model = f"m{(rank + self.demand_shift) % order_engine.MODELS}"
        return model, f"a{self.rng.randint(1, order_engine.ADAPTERS)}"

    def can_wait(self, model):
        """Whether the callers of a model can wait for a load."""
        return True

    def note_request(self, model, adapter, is_served):
        """Called for each request; worlds that count them override it."""

    # Engines

    def add_engine(self):
        self.started += 1
        name = f"e{self.started}"
        models = self.rng.sample(
            [f"m{n}" for n in range(order_engine.MODELS)], 3
        )
        engine = order_engine.Engine(
            self, name, f"10.0.0.{self.started}:1", models
        )
        self.engines[name] = engine
        self.track_task(self.loop.create_task(engine.run_heartbeats()))

    def remove_engine(self):
        name = self.rng.choice(list(self.engines))
        self.engines.pop(name).is_alive = False
        self.call_later(
            self.rng.uniform(0.5, 4.0), self.store.drop, "servers", name
        )
        self.add_engine()

    def deliver_order(self, engine, order):
        if not engine.is_alive:
            return engines_module.OrderOutcome.ELSEWHERE
        outcome = engine.take(order)
        self.orders_taken += outcome is engines_module.OrderOutcome.TAKEN
        return outcome

    def record_order(self, engine, owner, token):
        self.orders.append((self.now, engine.name, owner, token))

    def record_overcommit(self, engine, order):
        self.overcommits.append((round(self.now - 1000, 3), engine.name, order))

    # Instances

    def start(self, number):
        address = (f"10.0.1.{number}", 1)
        name = f"g{number}"
        rate = self.link_rates.get(number, FAST_LINK)
        self.links[name] = order_network.Link(self, rate)
        self.instances[address] = Instance(
            self, name, address, self.cores.get(number, 1.0)
        )

    def kill(self, number):
        instance = self.instances.pop((f"10.0.1.{number}", 1), None)
        if instance is not None:
            instance.kill()
            self.call_later(self.rng.uniform(0.3, 4.0), self.start, number)

    def find_holder(self):
        for (host, _), instance in self.instances.items():
            if instance.gateway.leadership.is_held:
                return int(host.rpartition(".")[2])
        return None

    def stop(self):
        for instance in self.instances.values():
            instance.kill()
        for task in self._tasks:
            task.cancel()
