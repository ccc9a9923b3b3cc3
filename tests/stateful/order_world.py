"""Real gateways' planning over fake engines, store and network.

Everything runs in simulated time on one event loop, drawn from a seed. The
gateways are whole but for their servers; what they reach is played here. The
engines are the oracle: each knows what it holds and notes every order that it
could not have room for.
"""

import asyncio
import dataclasses
import random
import selectors
import time

from wayslip import errors
from wayslip.decisions import fleet
from wayslip.decisions import lease
from wayslip.decisions import manifest
from wayslip.gateway import daemon
from wayslip.gateway import dialect
from wayslip.gateway import engines as engines_module
from wayslip.gateway import options as options_module
from wayslip.gateway import store as store_module

SERVICE = "s"
MODEL_MB = 70_000.0
ADAPTER_MB = 66.0
ROOM_MB = 220_000.0
# Few places, so that adapters make way for each other all the time.
PLACES = 4
MODELS = 10
ADAPTERS = 8
# Seconds: between an engine's entries, until one is listed at most, the age
# of its reports, and the times of loads.
BEAT = 1.2
LISTED_MOST = 0.8
REPORT_LAG = 0.1
LOAD_SECONDS = 4.0
ADAPTER_SECONDS = 0.1
# What a caller of the store or an engine waits for an answer, seconds.
STORE_PATIENCE = 0.5
ENGINE_PATIENCE = 0.7


class _SimulatedSelector(selectors.DefaultSelector):
    """Lets time pass at once where a loop would wait."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        assert timeout is not None, "nothing is left to happen"
        self.now += timeout
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock only moves when everything waits."""

    def __init__(self):
        self.simulated = _SimulatedSelector()
        super().__init__(self.simulated)

    def time(self):
        return self.simulated.now


def make_pool():
    models = {
        f"m{n}": manifest.Model(
            name=f"m{n}",
            weights_mb=MODEL_MB,
            adapter_mb=ADAPTER_MB,
            adapters=tuple(f"a{k}" for k in range(1, ADAPTERS + 1)),
            load_s=LOAD_SECONDS,
            disk_s=1.0,
            warm_s=0.5,
        )
        for n in range(MODELS)
    }
    return manifest.Pool(64, 100_000, ROOM_MB, PLACES, 5.0, models)


def make_manifest():
    service = manifest.Service(SERVICE, 1000, make_pool())
    return manifest.Manifest(1, (), {SERVICE: service})


@dataclasses.dataclass
class Faults:
    """What goes wrong now: chances, and who is affected."""

    order_lost: float = 0.0
    answer_lost: float = 0.0
    order_late: float = 0.0
    report_slow: float = 0.0
    write_lost: float = 0.0
    write_late: float = 0.0
    datagram_lost: float = 0.01
    datagram_slow: float = 0.0
    is_store_down: bool = False
    old_entry: float = 0.1
    cut_off: set = dataclasses.field(default_factory=set)
    isolated: set = dataclasses.field(default_factory=set)


class Engine:
    """Carries orders out as the platform's engines do."""

    def __init__(self, world, name, address, models):
        self.world = world
        self.name = name
        self.address = address
        self.models = {m: set() for m in models}
        self.coming = {}
        self.loading = None
        self.unloading = None
        self.orders = 0
        self.in_use = {}
        self.is_alive = True
        self.had = set(models)
        self.history = []
        self.entries = []
        self.note()

    # What it tells

    def state(self):
        return fleet.EngineState(
            self.orders,
            self.loading is not None or self.unloading is not None,
            {m: frozenset(a) for m, a in self.models.items()},
            frozenset(self.coming),
        )

    def note(self):
        self.history.append((self.world.now, self.state()))

    def report(self):
        limit = self.world.now - REPORT_LAG
        older = [s for at, s in self.history if at <= limit]
        if len(older) > 20:
            self.history = self.history[-10:]
        return older[-1] if older else self.history[0][1]

    def entry(self):
        return fleet.Endpoint(
            self.name,
            SERVICE,
            self.address,
            "h",
            64,
            models={m: frozenset(a) for m, a in self.models.items()},
            on_disk=frozenset(self.had),
        )

    async def beat(self):
        """Writes its entry now and then; old ones may come after newer."""
        while self.is_alive:
            self.list_soon()
            await asyncio.sleep(BEAT)

    def list_soon(self):
        rng = self.world.rng
        entry = self.entry()
        self.entries = [*self.entries[-3:], entry]
        delay = rng.uniform(0, LISTED_MOST)
        self.world.later(delay, self.list, entry)
        if rng.random() < self.world.faults.old_entry:
            old = rng.choice(self.entries)
            self.world.later(delay + rng.uniform(0, 2.0), self.list, old)

    def list(self, entry):
        if self.is_alive:
            self.world.store.put("servers", self.name, entry)

    # Requests

    def use(self, model, adapter, seconds):
        end = self.world.now + seconds
        for item in ((model, ""), (model, adapter)):
            self.in_use[item] = max(self.in_use.get(item, 0.0), end)

    def used_until(self, item):
        items = [i for i in self.in_use if i[0] == item[0]]
        if item[1]:
            items = [item]
        return max((self.in_use.get(i, 0.0) for i in items), default=0.0)

    # Orders

    def take(self, order):
        """Carries an order out; returns what it answers."""
        outcome = self.answer_known(order)
        if outcome is not None:
            return outcome
        if self.loading or self.unloading or order.orders != self.orders:
            return engines_module.OrderOutcome.BUSY
        item = (order.model, order.adapter)
        if order.action is lease.Action.UNLOAD:
            return self.unload(item)
        self.check(order)
        self.orders += 1
        if order.adapter:
            seconds = self.world.adapter_seconds
            seconds *= self.world.rng.uniform(0.1, 2.0)
            self.coming[item] = self.world.now + seconds
            self.world.later(seconds, self.finish_adapter, item)
        else:
            self.loading = order.model
            seconds = 1.0 if order.model in self.had else LOAD_SECONDS
            self.world.later(seconds, self.finish_load)
        self.note()
        return engines_module.OrderOutcome.TAKEN

    def answer_known(self, order):
        """Answers what holds or is under way, whatever count it names."""
        item = (order.model, order.adapter)
        held = self.models.get(order.model)
        is_there = held is not None and (
            not order.adapter or order.adapter in held
        )
        outcomes = engines_module.OrderOutcome
        if order.action is lease.Action.UNLOAD:
            if item == self.unloading:
                return outcomes.TAKEN
            return None if is_there else outcomes.HELD
        if order.adapter and held is None:
            return outcomes.ELSEWHERE
        if item in self.coming or (self.loading, "") == item:
            return outcomes.TAKEN
        return outcomes.HELD if is_there else None

    def check(self, order):
        items = [(m, a) for m, held in self.models.items() for a in held]
        places = len({*items, *self.coming}) + bool(order.adapter)
        models = len(self.models) + (not order.adapter)
        if models * MODEL_MB > ROOM_MB or places > PLACES:
            self.world.note_over(self, order)

    def unload(self, item):
        self.orders += 1
        end = self.used_until(item)
        if item[1] and end <= self.world.now:
            self.models[item[0]].discard(item[1])
            self.note()
            return engines_module.OrderOutcome.HELD
        self.unloading = item
        self.world.later(max(end - self.world.now, 0.05), self.finish_unload)
        self.note()
        return engines_module.OrderOutcome.TAKEN

    def finish_unload(self):
        model, adapter = self.unloading
        self.unloading = None
        if adapter:
            self.models[model].discard(adapter)
        else:
            del self.models[model]
            for item in [i for i in self.coming if i[0] == model]:
                del self.coming[item]
        self.note()
        self.list_soon()

    def finish_load(self):
        self.models[self.loading] = set()
        self.had.add(self.loading)
        self.loading = None
        self.note()
        self.list_soon()

    def finish_adapter(self, item):
        if self.coming.pop(item, None) is not None and item[0] in self.models:
            self.models[item[0]].add(item[1])
        self.note()


class Store:
    """The platform's store: objects by kind, and what changed."""

    def __init__(self, world):
        self.world = world
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()

    def put(self, kind, name, value):
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known[1] == value:
            return known[0]
        self.revision += 1
        self.objects[kind][name] = (self.revision, value)
        self._tell(kind, name, value)
        return self.revision

    def drop(self, kind, name):
        if self.objects.get(kind, {}).pop(name, None) is not None:
            self.revision += 1
            self._tell(kind, name, None)

    def _tell(self, kind, name, value):
        self.events.append((self.revision, kind, name, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, kind, name, revision, value):
        """Writes if the revision is still that; returns the new one."""
        known = self.objects.get(kind, {}).get(name)
        if (known[0] if known else 0) != revision:
            raise errors.ObjectConflictError("it was changed", "read it again")
        return self.put(kind, name, value)


class StoreClient:
    """One instance's way to the store."""

    def __init__(self, world, owner):
        self._world = world
        self._store = world.store
        self._owner = owner

    async def _reach(self):
        world = self._world
        faults = world.faults
        await asyncio.sleep(world.rng.uniform(0.002, 0.01))
        away = faults.cut_off | faults.isolated
        if faults.is_store_down or self._owner in away:
            await asyncio.sleep(world.rng.choice((0.01, STORE_PATIENCE)))
            raise errors.ObjectUnavailableError("no answer", "wait")

    async def list(self, kind):
        await self._reach()
        found = self._store.objects.get(kind.name, {})
        items = [
            store_module.Stored(name, revision, value)
            for name, (revision, value) in found.items()
        ]
        return store_module.Listing(tuple(items), self._store.revision)

    async def watch(self, kind, revision, wait):
        await self._reach()
        end = self._world.now + wait
        while True:
            found = [
                store_module.Change(name, value)
                for at, name_of_kind, name, value in self._store.events
                if at > revision and name_of_kind == kind.name
            ]
            left = end - self._world.now
            if found or left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self._store.changed.wait()
            except TimeoutError:
                pass
        seen = self._store.revision
        await self._reach()
        return store_module.Changes(tuple(found), seen)

    async def get(self, kind, name):
        await self._reach()
        found = self._store.objects.get(kind.name, {}).get(name)
        return found and store_module.Stored(name, *found)

    async def create(self, kind, name, value):
        return await self._write(kind, name, 0, value)

    async def replace(self, kind, stored, patience=None):
        return await self._write(
            kind, stored.name, stored.revision, stored.value
        )

    async def remove(self, kind, name, revision):
        await self._reach()
        self._store.drop(kind.name, name)

    async def _write(self, kind, name, revision, value):
        await self._reach()
        rng, faults = self._world.rng, self._world.faults
        if rng.random() < faults.write_late:
            delay = rng.uniform(1.0, 6.0)
            self._world.later(
                delay, self._write_late, kind.name, name, revision, value
            )
            await asyncio.sleep(STORE_PATIENCE)
            raise errors.ObjectUnavailableError("no answer", "wait")
        new = self._store.write(kind.name, name, revision, value)
        if rng.random() < faults.write_lost:
            await asyncio.sleep(STORE_PATIENCE)
            raise errors.ObjectUnavailableError("no answer", "wait")
        return store_module.Stored(name, new, value)

    def _write_late(self, *write):
        try:
            self._store.write(*write)
        except errors.ObjectConflictError:
            pass


class EngineClient:
    """One instance's way to the engines."""

    def __init__(self, world, owner):
        self._world = world
        self._owner = owner

    async def _travel(self):
        rng, faults = self._world.rng, self._world.faults
        seconds = rng.uniform(0.001, 0.005)
        if rng.random() < faults.report_slow:
            seconds = rng.uniform(0.0, ENGINE_PATIENCE)
        await asyncio.sleep(seconds)

    def _find(self, endpoint):
        engine = self._world.engines.get(endpoint.name)
        if engine is None or self._owner in self._world.faults.isolated:
            raise errors.EndpointError("no answer", "wait")
        return engine

    async def report(self, endpoint):
        try:
            async with asyncio.timeout(ENGINE_PATIENCE):
                await self._travel()
                state = self._find(endpoint).report()
                await self._travel()
                return state
        except TimeoutError as e:
            raise errors.EndpointError("no answer", "wait") from e

    async def order(self, endpoint, order, authority):
        world = self._world
        rng, faults = world.rng, world.faults
        unknown = engines_module.OrderOutcome.UNKNOWN
        await self._travel()
        try:
            engine = self._find(endpoint)
        except errors.EndpointError:
            return unknown
        if rng.random() < faults.order_lost:
            await asyncio.sleep(ENGINE_PATIENCE)
            return unknown
        if rng.random() < faults.order_late:
            world.later(rng.uniform(0.5, 12.0), world.arrive, engine, order)
            await asyncio.sleep(ENGINE_PATIENCE)
            return unknown
        outcome = world.arrive(engine, order)
        if rng.random() < faults.answer_lost:
            await asyncio.sleep(rng.choice((0.01, ENGINE_PATIENCE)))
            return unknown
        await self._travel()
        return outcome


class _Wire:
    """Stands in for the datagram transport of one gateway's hub."""

    def __init__(self, world, owner, address):
        self._world = world
        self._owner = owner
        self._address = address

    def is_closing(self):
        return False

    def close(self):
        pass

    def sendto(self, data, address):
        world = self._world
        rng, faults = world.rng, world.faults
        if rng.random() < faults.datagram_lost:
            return
        delay = rng.uniform(0.0005, 0.003)
        if rng.random() < faults.datagram_slow:
            delay = rng.uniform(0.0, 1.5)
        world.later(delay, self._arrive, data, address)

    def _arrive(self, data, address):
        world = self._world
        receiver = world.instances.get(address)
        ends = {self._owner, receiver and receiver.options.name}
        if receiver is None or ends & world.faults.isolated:
            return
        receiver.gateway._hub.datagram_received(data, self._address)


class Instance:
    """One gateway without its servers, and the requests that come to it."""

    def __init__(self, world, name, address):
        self.world = world
        self.address = address
        self.options = options_module.Options(
            name, "127.0.0.1", "h", "", "", "", f"{address[0]}:{address[1]}", 0
        )
        platform = daemon.Platform(
            store=StoreClient(world, name),
            dialect=None,
            engines=EngineClient(world, name),
            configuration=store_module.Kind("config", None, None),
            configuration_name="main",
            endpoints=store_module.Kind("servers", None, None),
        )
        self.gateway = self._make(platform)
        self.tasks = [
            asyncio.create_task(work)
            for work in (
                self.gateway._configurations.run(),
                self.gateway._endpoints.watcher.run(),
                self.gateway.leadership.run(),
                self.gateway._placement.run(),
                self.gateway._planner.run(),
                self.gateway._teller.run(self.gateway._find_sights),
                self._ask(),
            )
        ]

    def _make(self, platform):
        # Its servers want addresses, though they are never started.
        options = dataclasses.replace(
            self.options, callers="127.0.0.1:1", readiness="127.0.0.1:1"
        )
        gateway = daemon.Gateway(options, platform)
        gateway._hub._transport = _Wire(
            self.world, self.options.name, self.address
        )
        hub = gateway._hub
        hub._rng = self.world.rng
        spread = hub.spread
        # In order, or a seed would play otherwise in every process.
        hub.spread = lambda message, peers: spread(
            message, sorted(peers, key=str)
        )
        return gateway

    def kill(self):
        """Ends the process without a word."""
        self.gateway._planner.end()
        for task in self.tasks:
            task.cancel()

    async def _ask(self):
        """Plays requests: to an engine that holds their adapter, or a wish."""
        rng = self.world.rng
        while True:
            await asyncio.sleep(rng.expovariate(self.world.rate))
            model, adapter = self.world.draw_item()
            traits = dialect.Traits(
                "r", "h", "/", 5.0, model, adapter, prompt_tokens=1000
            )
            placement = self.gateway._placement
            placement.note_demand(SERVICE, traits, 0.05, True)
            name = self._find(model, adapter)
            if name is None:
                task = asyncio.create_task(placement.want(SERVICE, traits, 0.4))
                self.world.keep(task)
                continue
            engine = self.world.engines.get(name)
            if engine is not None:
                engine.use(model, adapter, rng.uniform(0.1, 1.5))

    def _find(self, model, adapter):
        view = self.gateway.view
        found = [
            t.endpoint.name
            for t in view.of_service(SERVICE)
            if view.holds(t.endpoint, model, adapter)
        ]
        return self.world.rng.choice(found) if found else None


class World:
    """All of it, from one seed."""

    def __init__(self, seed, engines=5, instances=4, rate=8.0):
        self.rng = random.Random(seed)
        random.seed(seed)
        self.loop = asyncio.get_running_loop()
        self.rate = rate
        self.faults = Faults()
        self.adapter_seconds = ADAPTER_SECONDS
        self.over = []
        self.taken = 0
        self.shift = 0
        self.started = 0
        self.store = Store(self)
        self.store.put("config", "main", make_manifest())
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

    def later(self, seconds, call, *args):
        self.loop.call_later(seconds, call, *args)

    def keep(self, task):
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def draw_item(self):
        """Draws a model and an adapter; which are asked for moves on."""
        rank = min(int(self.rng.expovariate(0.5)), MODELS - 1)
        model = f"m{(rank + self.shift) % MODELS}"
        return model, f"a{self.rng.randint(1, ADAPTERS)}"

    # Engines

    def add_engine(self):
        self.started += 1
        name = f"e{self.started}"
        models = self.rng.sample([f"m{n}" for n in range(MODELS)], 3)
        engine = Engine(self, name, f"10.0.0.{self.started}:1", models)
        self.engines[name] = engine
        self.keep(self.loop.create_task(engine.beat()))

    def remove_engine(self):
        name = self.rng.choice(list(self.engines))
        self.engines.pop(name).is_alive = False
        self.later(self.rng.uniform(0.5, 4.0), self.store.drop, "servers", name)
        self.add_engine()

    def arrive(self, engine, order):
        if not engine.is_alive:
            return engines_module.OrderOutcome.ELSEWHERE
        outcome = engine.take(order)
        self.taken += outcome is engines_module.OrderOutcome.TAKEN
        return outcome

    def note_over(self, engine, order):
        self.over.append((round(self.now - 1000, 3), engine.name, order))

    # Instances

    def start(self, number):
        address = (f"10.0.1.{number}", 1)
        self.instances[address] = Instance(self, f"g{number}", address)

    def kill(self, number):
        instance = self.instances.pop((f"10.0.1.{number}", 1), None)
        if instance is not None:
            instance.kill()
            self.later(self.rng.uniform(0.3, 4.0), self.start, number)

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


_STRIKES = {}


def strike(chance):
    """Registers a trouble; `chance` is its weight among all."""

    def register(function):
        _STRIKES[function] = chance
        return function

    return register


def _for_a_while(world, field, value):
    before = getattr(Faults(), field)
    setattr(world.faults, field, value)
    seconds = world.rng.uniform(1.0, 7.0)
    world.later(seconds, setattr, world.faults, field, before)


@strike(3)
def kill_holder(world):
    number = world.find_holder()
    if number is not None:
        world.kill(number)


@strike(1)
def kill_many(world):
    for number in range(len(world.instances)):
        if world.rng.random() < 0.6:
            world.kill(number)


@strike(2)
def lose_answers(world):
    _for_a_while(world, "answer_lost", world.rng.uniform(0.1, 0.5))


@strike(2)
def lose_orders(world):
    _for_a_while(world, "order_lost", world.rng.uniform(0.1, 0.4))


@strike(2)
def delay_orders(world):
    _for_a_while(world, "order_late", world.rng.uniform(0.1, 0.6))


@strike(2)
def delay_reports(world):
    _for_a_while(world, "report_slow", world.rng.uniform(0.1, 0.6))


@strike(2)
def lose_writes(world):
    _for_a_while(world, "write_lost", world.rng.uniform(0.1, 0.5))


@strike(2)
def delay_writes(world):
    _for_a_while(world, "write_late", world.rng.uniform(0.1, 0.4))


@strike(2)
def delay_datagrams(world):
    _for_a_while(world, "datagram_slow", world.rng.uniform(0.1, 0.5))


@strike(1)
def stop_store(world):
    _for_a_while(world, "is_store_down", True)


@strike(2)
def repeat_old_entries(world):
    _for_a_while(world, "old_entry", 0.8)


@strike(1)
def cut_holder_off(world):
    number = world.find_holder()
    if number is not None:
        _for_a_while(world, "cut_off", {f"g{number}"})


@strike(1)
def isolate_holder(world):
    number = world.find_holder()
    if number is not None:
        _for_a_while(world, "isolated", {f"g{number}"})


@strike(2)
def replace_engine(world):
    world.remove_engine()


@strike(2)
def lapse_entries(world):
    """Entries go while their engines live, and come back with a beat."""
    for name in list(world.engines):
        if world.rng.random() < 0.5:
            world.store.drop("servers", name)


@strike(4)
def move_demand(world):
    world.shift += world.rng.randint(1, 4)


async def _play(seed, seconds, troubles):
    world = World(seed)
    kinds = list(_STRIKES)
    weights = list(_STRIKES.values())
    end = world.now + seconds
    await asyncio.sleep(3.0)
    while world.now < end:
        await asyncio.sleep(world.rng.expovariate(troubles))
        world.rng.choices(kinds, weights)[0](world)
    world.stop()
    await asyncio.sleep(0)
    return world


def play(seed, seconds=40.0, troubles=0.7):
    """Plays one world; returns it."""
    return run(_play(seed, seconds, troubles))


def run(work):
    """Runs a coroutine in simulated time; returns what it returns."""
    loop = SimulatedLoop()
    real = time.monotonic
    time.monotonic = loop.time
    try:
        return loop.run_until_complete(work)
    finally:
        time.monotonic = real
        loop.close()
