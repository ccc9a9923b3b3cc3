"""Measures the time from an engine's drain until all entries stop using it.

    python -m bench.leaving [--instances 5] [--times 10]

Runs real processes with the default poll interval of 0.5 s, first with the
object API up and then down. The engine starts to drain; the time ends when the
state of every entry shows the engine as leaving.
"""

import argparse
import statistics
import time

from bench import processes

_INTENT = """
[[pools]]
name = "p"
engines = ["e0", "e1"]
[[models]]
name = "m"
pool = "p"
version = "v1"
replicas = 2
[[versions]]
model = "m"
name = "v1"
size = 10
"""


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=5)
    parser.add_argument("--times", type=int, default=10)
    args = parser.parse_args()
    with processes.Fleet({"placement": {"load_rate": 50.0}}) as fleet:
        for n in range(2):
            fleet.start_engine(f"e{n}", 100)
        for n in range(args.instances):
            fleet.add_instance(f"i{n}", ("control", "entry"))
        fleet.apply("i0", _INTENT)
        names = [f"i{n}" for n in range(args.instances)]
        for name in names:
            fleet.wait_ready(name, 2)
        print(f"{'object API':>10} {'median_s':>8} {'max_s':>6}")
        for is_down in (False, True):
            faults = {"down": is_down}
            url = f"{fleet.objects_url}/standin/faults"
            processes.fetch("POST", url, faults, processes.TOKEN)
            seconds = [_measure(fleet, names) for _ in range(args.times)]
            label = "down" if is_down else "up"
            median_seconds = statistics.median(seconds)
            print(
                f"{label:>10} {median_seconds:>8.3f} {max(seconds):>6.3f}",
                flush=True,
            )


def _measure(fleet: processes.Fleet, names: list[str]) -> float:
    _set_state(fleet, "draining")
    began = time.monotonic()
    waiting = list(names)
    while waiting:
        waiting = [n for n in waiting if not _is_leaving(fleet, n)]
    seconds = time.monotonic() - began
    _set_state(fleet, "serving")
    processes.wait_until(
        lambda: not any(_is_leaving(fleet, n) for n in names), "e0 serves again"
    )
    return seconds


def _set_state(fleet: processes.Fleet, state: str) -> None:
    url = f"http://{fleet.addresses['e0']}/standin"
    processes.fetch("POST", url, {"state": state})


def _is_leaving(fleet: processes.Fleet, name: str) -> bool:
    address = fleet.addresses[f"entry/{name}/operators"]
    state = processes.fetch("GET", f"http://{address}/state")
    health = state["endpoints"]["is"]["e0"]["health"]
    return health["left_at"] is not None


if __name__ == "__main__":
    main()
