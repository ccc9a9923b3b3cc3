"""Models that are asked for every few seconds are served beside busy ones."""

import asyncio
import collections

import pytest

from tests.stateful import order_engine
from tests.stateful import order_world
from tests.stateful import simulated_loop

_MODELS = 26
_BUSY = 4
# Share of the requests that are for rare models, 2 a second.
_RARE_SHARE = 0.06
_SECONDS = 40.0
# A name counts once it was asked for this often, over this many seconds.
_MIN_REQUESTS = 4
_MIN_SPAN_SECONDS = 8.0


class _World(order_world.World):
    """Four busy models whose demand moves, and 22 rare ones, on 18 places."""

    def __init__(self, seed):
        self.requests = collections.defaultdict(list)
        super().__init__(seed, engines=6, instances=4, rate=8.0)

    def draw_item(self):
        if self.rng.random() < _RARE_SHARE:
            return f"m{self.rng.randrange(_BUSY, _MODELS)}", ""
        model = f"m{self.rng.randrange(_BUSY)}"
        adapter = f"a{self.rng.randint(1, order_engine.ADAPTERS)}"
        return model, adapter if self.rng.random() < 0.3 else ""

    def can_wait(self, model):
        return int(model[1:]) >= _BUSY

    def note_request(self, model, adapter, is_served):
        self.requests[model, adapter].append((self.now, is_served))

    def list_asked(self):
        """Returns the names that were asked for often, with their requests."""
        return {
            name: requests
            for name, requests in self.requests.items()
            if len(requests) >= _MIN_REQUESTS
            and requests[-1][0] - requests[0][0] > _MIN_SPAN_SECONDS
        }


async def _simulate(seed):
    world = _World(seed)
    await asyncio.sleep(_SECONDS)
    world.stop()
    return world


@pytest.mark.parametrize("seed", range(4))
def test_rarely_requested_models_are_not_refused_all_day(monkeypatch, seed):
    # The operators allow 1 and a tenth of the names that were asked for.
    monkeypatch.setattr(order_engine, "MODELS", _MODELS)
    monkeypatch.setattr(order_engine, "LOAD_SECONDS", 9.0)
    world = simulated_loop.run(_simulate(seed))
    asked = world.list_asked()
    never = [
        (name, len(requests))
        for name, requests in asked.items()
        if not any(is_served for _, is_served in requests)
    ]
    assert len(never) <= 1 + len(asked) / 10, sorted(never)
    assert not world.overcommits
