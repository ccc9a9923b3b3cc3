import math

from tests.decisions import test_loading
from wayslip.decisions import copies
from wayslip.decisions import turns


def make_world(engines, pool, demand=None):
    return copies.World({e.name: e for e in engines}, pool, demand or {})


def due(model, refusals=6, waited=10.0, unserved=math.inf):
    return turns.Waiting(model, refusals, waited, unserved)


def test_model_without_a_paying_load_gets_a_turn_while_others_load():
    pool = test_loading.make_pool("a", "b", "c", "d")
    engines = [
        test_loading.make_engine("e1", "a", "b"),
        test_loading.make_engine("e2", "a", is_free=False),
    ]
    demand = {"a": test_loading.asked(20), "c": test_loading.asked(0.1)}
    assert test_loading.plan(engines, pool, demand) is None
    world = make_world(engines, pool, demand)
    step = turns.plan_turn(world, [due("c")], 0, True)
    assert (step.engine, step.model, step.victims) == ("e1", "c", ("b",))
    assert step.is_turn


def test_turns_keep_a_share_of_the_engines_busy_at_most():
    pool = test_loading.make_pool("a", "c")
    engines = [test_loading.make_engine(f"e{n}") for n in range(12)]
    world = make_world(engines, pool)
    assert turns.find_limit(12) == 2
    assert turns.plan_turn(world, [due("c")], 1, True) is not None
    assert turns.plan_turn(world, [due("c")], 2, True) is None


def test_most_refused_model_comes_first_and_recently_served_ones_last():
    recent = due("a", refusals=9, unserved=5.0)
    found = turns.sort([recent, due("b", 5), due("c", 8), due("d", 8, 20.0)])
    assert [w.model for w in found] == ["d", "c", "b", "a"]


def test_turn_does_not_take_a_busy_model_until_its_wait_is_long():
    pool = test_loading.make_pool("a", "c")
    engine = test_loading.make_engine("e1", "a", charged_mb=150.0)
    world = make_world([engine], pool, {"a": test_loading.asked(1.0)})
    assert turns.plan_turn(world, [due("c", waited=10.0)], 0, True) is None
    assert turns.plan_turn(world, [due("c", waited=60.0)], 0, True)


def test_recently_served_model_is_not_loaded_from_the_weight_store():
    pool = test_loading.make_pool("a", "c")
    engine = test_loading.make_engine("e1", "a")
    recent = due("c", unserved=5.0)
    world = make_world([engine], pool)
    assert turns.plan_turn(world, [recent], 0, True) is None
    near = test_loading.make_engine("e1", "a", on_disk=frozenset("c"))
    step = turns.plan_turn(make_world([near], pool), [recent], 0, True)
    assert not step.is_cold


def test_expected_times_follow_the_order_of_the_turns():
    pool = test_loading.make_pool("a", "b", "c")
    waiting = [due("a"), due("b")]
    assert turns.estimate_ready(waiting, [4.0], pool, 6) == {
        "a": 13.0,
        "b": 22.0,
    }
    assert turns.estimate_ready(waiting, [], pool, 0) == {}
