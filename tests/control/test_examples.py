"""Plans can be made for the examples, with engines of 80 GB."""

import pathlib

import pytest

from wayslip.control import intents
from wayslip.decisions import configuration
from wayslip.decisions import placement
from wayslip.decisions import plan

ENGINE_BYTES = 80 * 10**9


@pytest.mark.parametrize(
    ("path", "engines", "models", "adapters"),
    [
        ("examples/models.toml", 3, 4, 2),
        ("examples/models-authority.toml", 6, 26, 64),
        ("examples/models-association.toml", 9, 39, 95),
    ],
)
def test_example_can_be_planned(path, engines, models, adapters):
    change = intents.parse_intent(pathlib.Path(path).read_text())
    kinds = [v.kind for v in change.put]
    assert kinds.count(configuration.Kind.MODEL) == models
    assert kinds.count(configuration.Kind.ADAPTER) == adapters
    pool = next(v for v in change.put if isinstance(v, configuration.Pool))
    assert len(pool.engines) == engines
    states = {
        name: placement.EngineState(name, ENGINE_BYTES, {})
        for name in pool.engines
    }
    world = plan.World(configuration.Configuration(), states)
    store = plan.WeightStore(1.4, 15)
    planned = plan.build_plan(world, change, store, plan.Draft("p", "o", 0.0))
    assert isinstance(planned, plan.Plan), planned
    assert planned.cost.moves >= models + adapters
