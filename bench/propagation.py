"""Measures how long a confirmed configuration takes to reach all daemons.

    python -m bench.propagation [--instances 5,15,40] [--changes 10]

Runs real processes and reads the times from their logs. A delay starts when
the first daemon logs `configuration_in_force` for a generation, which is the
control daemon that confirmed it, once the object API has accepted it. It ends
when another daemon logs the same event. Also prints the idle cost of the
daemons: processor time, memory, and gossip bytes per second.
"""

import argparse
import re
import statistics
import time

import urllib3

from bench import processes

_SERVICE = """
[[services]]
name = "s{n}"
endpoints = []
"""
_LINE = re.compile(
    r"time=(\S+) .*event=configuration_in_force generation=(\d+)"
)
_BYTES = re.compile(
    rb'wayslip_gossip_bytes_total\{direction="out"\} (\S+)', re.MULTILINE
)


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", default="5,15,40")
    parser.add_argument("--changes", type=int, default=10)
    args = parser.parse_args()
    print(
        f"{'daemons':>7} {'median_s':>8} {'max_s':>6} {'missed':>6}"
        f" {'idle_ms/s':>9} {'MiB':>5} {'bytes/s':>8}"
    )
    for count in args.instances.split(","):
        _measure(int(count), args.changes)


def _measure(instances: int, changes: int) -> None:
    with processes.Fleet() as fleet:
        for n in range(instances):
            fleet.add_instance(f"i{n}", ("control", "entry"))
        daemons = 2 * instances
        fleet.apply("i0", _SERVICE.format(n="first"))
        processes.wait_until(
            lambda: len(_read_delays(fleet).get(1, [])) == daemons,
            "all daemons joined",
        )
        # The updates of the joining members would count as idle cost; they
        # have been disseminated after this time.
        time.sleep(8)
        idle, memory, sent = _measure_idle(fleet)
        for n in range(changes):
            fleet.apply(f"i{n % instances}", _SERVICE.format(n=n))
            time.sleep(0.2)
        time.sleep(5)
        delays = _read_delays(fleet)
    rows = [delays.get(g, []) for g in range(2, changes + 2)]
    values = [d for row in rows for d in row]
    missed = sum(daemons - len(row) for row in rows)
    print(
        f"{daemons:>7} {statistics.median(values):>8.3f} {max(values):>6.3f}"
        f" {missed:>6} {idle:>9.1f} {memory:>5.0f} {sent:>8.0f}",
        flush=True,
    )


def _read_delays(fleet: processes.Fleet) -> dict[int, list[float]]:
    """Returns the delays of the daemons by generation, seconds."""
    reached: dict[int, list[float]] = {}
    for line in fleet.log_path.read_text(errors="replace").splitlines():
        match = _LINE.match(line)
        if match is None:
            continue
        at, generation = match.groups()
        reached.setdefault(int(generation), []).append(float(at))
    return {
        g: [at - min(times) for at in times] for g, times in reached.items()
    }


def _measure_idle(
    fleet: processes.Fleet, seconds: float = 5.0
) -> tuple[float, float, float]:
    """Returns processor ms per second, MiB, and gossip bytes per second.

    Processor time and memory are means over the daemons; the gossip bytes are
    those of one entry.
    """
    daemons = [p for n, p in fleet.processes.items() if "/" in n]
    before = [p.cpu_seconds for p in daemons]
    bytes_before = _read_bytes(fleet)
    time.sleep(seconds)
    spent = [p.cpu_seconds - b for p, b in zip(daemons, before, strict=True)]
    sent = (_read_bytes(fleet) - bytes_before) / seconds
    memory = statistics.mean(p.memory_mib for p in daemons)
    return 1000 * statistics.mean(spent) / seconds, memory, sent


def _read_bytes(fleet: processes.Fleet) -> float:
    """Returns the gossip bytes that the entry of i0 has sent."""
    address = fleet.addresses["entry/i0/operators"]
    answer = urllib3.request(
        "GET",
        f"http://{address}/metrics",
        headers={"Authorization": f"Bearer {processes.OPERATOR_KEY}"},
    )
    match = _BYTES.search(answer.data)
    return float(match.group(1)) if match else 0.0


if __name__ == "__main__":
    main()
