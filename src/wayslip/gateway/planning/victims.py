"""Checks eviction victims again right before they are unloaded.

Load pattern: between a plan and its unload other copies of the victim are lost
with their engines, or another holder's orders take them. The plan valued the
victim as one of several copies; unloading the last one would refuse all
requests for a model that is asked for.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from wayslip.decisions import copies
from wayslip.decisions import loading
from wayslip.gateway.planning import tracked_engines as tracked_engines_module

Check = Callable[[str], bool]


def make_check(
    step: loading.Step,
    list_engines: Callable[[], Iterable[tracked_engines_module.TrackedEngine]],
    list_rates: Callable[[], Mapping[str, float]],
) -> Check:
    """Returns a function that tells whether a victim may still be unloaded.

    Args:
        step: The planned step.
        list_engines: Returns the engines of the service.
        list_rates: Returns the models' requests per second.
    """

    def has_others(model: str) -> bool:
        return any(
            (model, "") in engine.usable() and model not in engine.evicting
            for engine in list_engines()
            if engine.endpoint.name != step.engine
        )

    shared = {victim for victim in step.victims if has_others(victim)}

    def may_unload(victim: str) -> bool:
        is_asked_for = list_rates().get(victim, 0.0) > copies.IDLE_RATE
        return not (
            victim in shared and is_asked_for and not has_others(victim)
        )

    return may_unload
