import asyncio
import dataclasses

from standins import platform_engine
from standins import platform_store
from wayslip import addresses
from wayslip import metrics
from wayslip.decisions import fleet
from wayslip.decisions import lease
from wayslip.gateway import books as books_module
from wayslip.gateway import engines as engines_module
from wayslip.gateway import options as options_module
from wayslip.gateway import ordering
from wayslip.platform import engines
from wayslip.platform import store

NOW = 100.0
M1, M2, M3 = ("m1", ""), ("m2", ""), ("m3", "")


def make_book(*models, **fields):
    entry = fleet.Endpoint(
        "e1", "s", "127.0.0.1:1", "h", models={m: frozenset() for m in models}
    )
    return books_module.Book(entry, **fields)


def state(orders, *models, **fields):
    held = {m: frozenset() for m in models}
    return fleet.EngineState(
        orders, **{"is_busy": False, **fields}, models=held
    )


# What may be held


def test_report_shows_more_than_an_old_entry():
    # A holder that took over had an entry without a model that was loaded
    # since, and ordered the engine over its memory.
    book = make_book("m1")
    assert book.take_state(state(3, "m1", "m2"), NOW)
    assert book.charged() == {M1, M2}
    book.take_entry(book.endpoint, NOW)
    assert book.charged() == {M1, M2}


def test_old_report_is_not_believed():
    book = make_book("m1", orders=3, least_orders=3, counted_at=NOW - 1)
    assert not book.take_state(state(2), NOW)
    assert book.charged() == {M1}


def test_report_that_stays_behind_corrects_the_count():
    book = make_book("m1", orders=3, least_orders=3, counted_at=NOW - 10)
    assert book.take_state(state(2, "m1"), NOW)
    assert book.orders == 2


def test_old_heartbeat_does_not_free_what_was_seen():
    # An entry of before the load came after one that showed the model, and
    # the engine was ordered over its memory (hbmaa mix --seed 996805638734).
    book = make_book("m1")
    old = book.endpoint
    book.note_load(M2, 0.0)
    listed = {"m1": frozenset(), "m2": frozenset()}
    book.take_entry(dataclasses.replace(old, models=listed), NOW)
    book.take_entry(old, NOW)
    assert M2 in book.charged()


def test_load_is_charged_until_it_shows():
    book = make_book("m1")
    book.note_load(M2, 0.0)
    book.take_entry(book.endpoint, NOW)
    assert M2 in book.charged()
    listed = {"m1": frozenset(), "m2": frozenset()}
    book.take_entry(dataclasses.replace(book.endpoint, models=listed), NOW)
    assert not book.added
    assert M2 in book.charged()


def test_unload_frees_only_what_was_seen_gone():
    book = make_book("m1", "m2")
    book.note_unload(M2)
    assert M2 in book.charged()
    assert M2 not in book.usable()
    book.take_state(state(1, "m1"), NOW)
    assert book.charged() == {M1}


def test_unload_of_a_model_takes_its_adapters_along():
    book = make_book("m1")
    book.note_load(("m1", "a1"), 0.0)
    book.note_unload(M1)
    assert book.removed == {M1: False, ("m1", "a1"): False}


def test_adapters_on_their_way_take_places():
    book = make_book("m1")
    coming = frozenset({("m1", "a7")})
    book.take_state(state(1, "m1", coming=coming), NOW)
    assert ("m1", "a7") in book.charged()


def test_engine_that_loads_for_a_holder_before_us_is_not_known():
    book = make_book("m1")
    book.take_state(state(1, "m1", is_busy=True), NOW)
    assert not book.is_known
    book.take_state(state(1, "m1", "m2"), NOW)
    assert book.is_known


def test_model_that_is_still_loading_is_not_usable():
    # A successor told its peers that an adopted load was done, and they sent
    # requests that were all turned away.
    book = make_book("m1")
    book.note_load(M2, 0.0)
    assert M2 not in book.usable()
    book.take_state(state(1, "m1", "m2"), NOW)
    assert M2 in book.usable()


# Orders


class Fixture:
    def __init__(self, name="g1", standin=None):
        self.standin = standin or platform_store.PlatformStore()
        self.name = name

    async def start(self, engine):
        address = await self.standin.start()
        self.connect(address)
        self.engine = engine
        entry = fleet.Endpoint(
            engine.name,
            "s",
            await engine.start(),
            "h",
            models={m: frozenset(a) for m, a in engine.models.items()},
        )
        self.book = books_module.Book(entry)
        self.ordering.books[engine.name] = self.book

    def connect(self, address):
        self.address = address
        options = options_module.Options(
            self.name, "127.0.0.1", "h", "", "", address, "", 0
        )
        self.store = store.PlatformStore(addresses.split_address(address))
        self.ordering = ordering.Ordering(
            options, self.store, engines.PlatformEngines(), metrics.Metrics()
        )
        self.ordering.least_token = 40

    def stop(self):
        self.store.close()
        self.engine.stop()
        self.standin.stop()


def with_engine(test):
    def wrapper():
        async def body():
            fixture = Fixture()
            engine = platform_engine.PlatformEngine("e1")
            engine.models = {"m1": []}
            await fixture.start(engine)
            try:
                async with asyncio.timeout(20):
                    await test(fixture)
            finally:
                fixture.stop()

        asyncio.run(body())

    wrapper.__name__ = test.__name__
    return wrapper


@with_engine
async def test_order_is_claimed_before_it_is_sent(fixture):
    outcome = await fixture.ordering.order(fixture.book, lease.Action.LOAD, M2)
    assert outcome is engines_module.OrderOutcome.TAKEN
    claim = fixture.standin.objects["wayslip-claims"]["e1"]["spec"]
    assert (claim["holder"], claim["token"]) == ("g1", 40)
    sent = fixture.engine.orders[0]
    assert (sent["holder"], sent["fencing_token"]) == ("g1", 40)
    assert sent["expected_count"] == 0
    assert M2 in fixture.book.charged()


@with_engine
async def test_order_without_an_answer_is_settled_by_the_count(fixture):
    fixture.engine.order_status = 0
    outcome = await fixture.ordering.order(fixture.book, lease.Action.LOAD, M2)
    assert outcome is engines_module.OrderOutcome.TAKEN
    # It was carried out once, and the count shows that.
    assert len(fixture.engine.orders) == 1
    assert fixture.book.orders == 1


@with_engine
async def test_order_that_was_lost_is_sent_again_unchanged(fixture):
    lost = [True]
    carry_out = fixture.engine._take_order

    async def lose_first(request, line):
        if lost.pop() if lost else False:
            line.reset()
            return
        await carry_out(request, line)

    fixture.engine._take_order = lose_first
    outcome = await fixture.ordering.order(fixture.book, lease.Action.LOAD, M2)
    assert outcome is engines_module.OrderOutcome.TAKEN
    assert fixture.engine.orders[0]["expected_count"] == 0
    assert fixture.engine.models == {"m1": [], "m2": []}


@with_engine
async def test_nothing_is_sent_when_the_claim_is_not_written(fixture):
    await fixture.ordering.order(fixture.book, lease.Action.LOAD, M2)
    fixture.standin.faults.is_down = True
    outcome = await fixture.ordering.order(fixture.book, lease.Action.LOAD, M3)
    assert outcome is engines_module.OrderOutcome.REFUSED
    assert len(fixture.engine.orders) == 1
    assert M3 not in fixture.book.charged()


@with_engine
async def test_second_holder_keeps_its_distance(fixture):
    await fixture.ordering.order(fixture.book, lease.Action.LOAD, M2)
    other = Fixture("g2", fixture.standin)
    other.connect(fixture.address)
    await other.ordering.read_claims()
    assert not other.ordering.may_claim("e1")
    book = books_module.Book(fixture.book.endpoint)
    other.ordering.books["e1"] = book
    outcome = await other.ordering.order(book, lease.Action.LOAD, M3)
    assert outcome is engines_module.OrderOutcome.REFUSED
    assert len(fixture.engine.orders) == 1
    other.store.close()


@with_engine
async def test_what_does_not_fit_any_more_is_not_sent(fixture):
    outcome = await fixture.ordering.order(
        fixture.book, lease.Action.LOAD, M2, lambda: False
    )
    assert outcome is engines_module.OrderOutcome.REFUSED
    assert not fixture.engine.orders


@with_engine
async def test_orders_of_another_count_are_refused_and_learned(fixture):
    fixture.book.orders = 5
    fixture.book.is_known = True
    outcome = await fixture.ordering.order(fixture.book, lease.Action.LOAD, M2)
    assert outcome is engines_module.OrderOutcome.BUSY
    assert await fixture.ordering.learn(fixture.book)
    assert fixture.book.orders == 0
    outcome = await fixture.ordering.order(fixture.book, lease.Action.LOAD, M2)
    assert outcome is engines_module.OrderOutcome.TAKEN


@with_engine
async def test_order_after_an_adapters_unload_is_taken_at_once(fixture):
    # Reports still told the count of before the unload, and up to ten orders
    # in a row were refused (ctta-grown quiet-1, adapters at 10.4 s).
    fixture.engine.models = {"m1": ["a1"]}
    fixture.engine.report_lag = 0.5
    await fixture.ordering.learn(fixture.book)
    unload = await fixture.ordering.order(
        fixture.book, lease.Action.UNLOAD, ("m1", "a1")
    )
    assert unload is engines_module.OrderOutcome.HELD
    load = await fixture.ordering.order(
        fixture.book, lease.Action.LOAD, ("m1", "a2")
    )
    assert load is engines_module.OrderOutcome.TAKEN
    assert len(fixture.engine.orders) == 2


@with_engine
async def test_engine_that_refused_an_order_rests(fixture):
    fixture.book.orders = 5
    fixture.book.is_known = True
    now = asyncio.get_running_loop().time()
    await fixture.ordering.order(fixture.book, lease.Action.LOAD, M2)
    assert fixture.book.rests_until > now
