"""Adds the slots that requests occupy to the demand for models.

Load pattern: answers are long and prompts short. A model's engines then run
out of slots while they have time left to read prompts, and requests queue
there although other engines are idle. Valued by reading alone, a copy of such
a model looks spare and is evicted for a rarely requested one.

By Little's law the requests that run at the same time are their rate times the
time that each takes. That time is not configured; it follows from the requests
that run now, which are reported, and the rate of all models together.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from wayslip.decisions import copies

# Share of its slots above which an engine delays first tokens: instances choose
# by load that is some hundred milliseconds old and so fill copies unevenly.
_MAX_SLOT_SHARE = 0.9
# An engine with that share of its slots in use counts as busy as one that
# reads prompts for the maximum share of its time.
_WORK_PER_ENGINE = copies.MAX_READING_SHARE / _MAX_SLOT_SHARE


def add_occupancy(
    demand: Mapping[str, copies.Demand], in_flight: Iterable[int], slots: int
) -> dict[str, copies.Demand]:
    """Returns the demand with the work of reading or of running, if larger.

    Args:
        demand: Demand by model.
        in_flight: Requests at each engine; those beyond its slots wait.
        slots: Slots of an engine.
    """
    running = sum(min(count, slots) for count in in_flight)
    total = sum(asked.rate for asked in demand.values())
    if not total or not slots:
        return dict(demand)
    work_per_request = running / total / slots * _WORK_PER_ENGINE
    return {
        model: dataclasses.replace(
            asked, work=max(asked.work, asked.rate * work_per_request)
        )
        for model, asked in demand.items()
    }
