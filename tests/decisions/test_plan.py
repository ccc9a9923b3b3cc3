"""Plans fit in memory at every step, in any interleaving of engines."""

import random

import hypothesis
from hypothesis import strategies as st

from wayslip import refusals
from wayslip.decisions import catalog as catalogs
from wayslip.decisions import configuration
from wayslip.decisions import ledger
from wayslip.decisions import placement
from wayslip.decisions import plan as plans

STORE = plans.WeightStore(1.4, 15)
DRAFT = plans.Draft("p-1", "olga", 0.0)


def make_change(sizes, engines, replicas=1):
    names = tuple(f"e{n}" for n in range(engines))
    values = [configuration.Pool("p", names)]
    for n, size in enumerate(sizes):
        values.append(configuration.Model(f"m{n}", "p", "v1", replicas))
        values.append(configuration.Version(f"m{n}", "v1", size))
    return configuration.Change(tuple(values))


def make_engines(capacities, held=()):
    return {
        f"e{n}": placement.EngineState(
            f"e{n}", capacity, dict(held[n]) if n < len(held) else {}
        )
        for n, capacity in enumerate(capacities)
    }


def build(change, engines, config=None):
    world = plans.World(config or configuration.Configuration(), engines)
    return plans.build_plan(world, change, STORE, DRAFT)


def test_change_that_does_not_fit_is_refused():
    refusal = build(make_change([60, 60], 1), make_engines([100]))
    assert refusal.reason is refusals.Reason.NO_MEMORY


def test_validly_placed_items_stay():
    held = [{"m0@v1": 40}, {"m1@v1": 40}]
    plan = build(make_change([40, 40], 2), make_engines([100, 100], held))
    assert plan.steps == ()


def test_engine_with_a_changed_ledger_is_reported():
    change = make_change([40], 1)
    plan = build(change, make_engines([100]))
    world = plans.World(
        configuration.Configuration(), make_engines([100], [{"x": 5}])
    )
    assert plans.find_changes(plan, world) == ("engine e0",)


@hypothesis.given(
    sizes=st.lists(st.integers(5, 40), min_size=1, max_size=6),
    where=st.lists(st.integers(0, 2), min_size=6, max_size=6),
    dropped=st.sets(st.integers(0, 5), max_size=2),
    leaving=st.booleans(),
    seed=st.integers(0, 99),
)
@hypothesis.settings(max_examples=300)
def test_steps_fit_in_any_interleaving(sizes, where, dropped, leaving, seed):
    held = [{}, {}, {}]
    for n, size in enumerate(sizes):
        engine = held[where[n]]
        if sum(engine.values()) + size <= 100:
            engine[f"m{n}@v1"] = size
    engines = make_engines([100, 100, 100], held)
    if leaving:
        engines["e0"] = placement.EngineState("e0", 100, held[0], False)
    kept = [s for n, s in enumerate(sizes) if n not in dropped]
    plan = build(make_change(kept, 3), engines)
    if isinstance(plan, refusals.Refusal):
        return
    _carry_out(plan, engines, random.Random(seed))


def _carry_out(plan, engines, rng):
    """Runs each engine's steps in order, interleaved at random."""
    wanted = configuration.Configuration().apply(plan.change, "", "")
    required = catalogs.build_catalog(wanted).required
    memory = {name: dict(state.held) for name, state in engines.items()}
    reachable = {i for i in required if any(i in m for m in memory.values())}
    todo = {name: [] for name in engines}
    for step in plan.steps:
        todo[step.engine].append(step)
    while any(todo.values()):
        ready = [n for n in todo if todo[n] and _may(todo[n][0], memory, plan)]
        assert ready, "no engine can run its next step"
        name = rng.choice(ready)
        step = todo[name].pop(0)
        if step.action is ledger.Action.LOAD:
            memory[name][step.item] = step.size
        else:
            del memory[name][step.item]
        assert sum(memory[name].values()) <= engines[name].capacity
        for item in reachable:
            assert any(item in held for held in memory.values())
    for item in required:
        assert any(item in held for held in memory.values())


def _may(step, memory, plan):
    """Whether the executor may run a step.

    A load needs free memory, an eviction another replica of the item.
    """
    held = memory[step.engine]
    if step.action is ledger.Action.LOAD:
        return sum(held.values()) + step.size <= 100
    later = [s.item for s in plan.steps if s.action is ledger.Action.LOAD]
    others = any(
        step.item in m for name, m in memory.items() if name != step.engine
    )
    return others or step.item not in later
