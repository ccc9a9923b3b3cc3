"""Measures the cost of relaying streams: processor time, delays, memory.

    python -m bench.relay [--streams 100,300,560] [--seconds 8]

One entry relays between client processes and engine stand-ins that emit a
token every 62 ms. For comparison, the clients also call the engines directly
before each run.
"""

import argparse
import json
import subprocess
import sys
import time
from typing import Any

from bench import processes

STEP_SECONDS = 0.062
ENGINES = 4
CLIENTS = 4
# Streams are opened at this rate; the forecast peak of each entry in two years
# is 21 per second.
STREAMS_PER_SECOND = 40
_INTENT = """
[[pools]]
name = "p"
engines = ["e0", "e1", "e2", "e3"]
[[models]]
name = "m"
pool = "p"
version = "v1"
replicas = 4
[[versions]]
model = "m"
name = "v1"
size = 10
"""


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", default="100,300,560")
    parser.add_argument("--seconds", type=float, default=8.0)
    args = parser.parse_args()
    sections = {
        "limits": {"worker_threads": 64},
        "admission": {"endpoint_in_flight": 400, "total_in_flight": 4000},
        "placement": {"load_rate": 100.0},
    }
    with processes.Fleet(sections) as fleet:
        for n in range(ENGINES):
            fleet.start_engine(
                f"e{n}", 100, "--slots", "2000", "--step", str(STEP_SECONDS)
            )
        fleet.add_instance("i0", ("control", "entry"))
        fleet.apply("i0", _INTENT)
        fleet.wait_ready("i0", ENGINES)
        _measure(fleet, args)


def _measure(fleet: processes.Fleet, args: argparse.Namespace) -> None:
    entry = fleet.processes["entry/i0"]
    print(
        f"{'streams':>7} {'path':>7} {'us/token':>9} {'first95':>8}"
        f" {'gap50':>7} {'gap95':>7} {'gap99':>7} {'tokens/s':>9} {'MiB':>6}"
    )
    tokens = int(args.seconds / STEP_SECONDS)
    for streams in [int(s) for s in args.streams.split(",")]:
        engines = [fleet.addresses[f"e{n}"] for n in range(ENGINES)]
        _run("direct", engines, "m@v1", streams, tokens, None)
        relay = [fleet.addresses["entry/i0"]] * CLIENTS
        _run("relay", relay, "m", streams, tokens, entry)


def _run(
    path: str,
    addresses: list[str],
    model: str,
    streams: int,
    tokens: int,
    entry: processes.Process | None,
) -> None:
    began = time.monotonic()
    clients = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bench.stream_client",
                *("--address", address, "--model", model),
                *("--key", processes.CALLER_KEY),
                *("--streams", str(streams // len(addresses))),
                *("--tokens", str(tokens)),
                *("--spread", str(streams / STREAMS_PER_SECOND)),
            ],
            stdout=subprocess.PIPE,
            cwd=processes.ROOT,
        )
        for address in addresses
    ]
    # The clients get 1.5 s to start, besides the time in which they open the
    # streams. The cost of a token is measured after that, until one second
    # before the first streams end, but for at least one second.
    time.sleep(streams / STREAMS_PER_SECOND + 1.5)
    before, measured_from = (
        entry.cpu_seconds if entry else 0.0,
        time.monotonic(),
    )
    time.sleep(
        max(tokens * STEP_SECONDS - streams / STREAMS_PER_SECOND - 2.5, 1.0)
    )
    spent = entry.cpu_seconds - before if entry else 0.0
    relayed = streams * (time.monotonic() - measured_from) / STEP_SECONDS
    memory = entry.memory_mib if entry else 0.0
    results = [json.loads(c.communicate()[0]) for c in clients]
    seconds = time.monotonic() - began
    _print_row(path, streams, results, seconds, spent / relayed, memory)


def _print_row(
    path: str,
    streams: int,
    results: list[Any],
    seconds: float,
    per_token: float,
    memory: float,
) -> None:
    events = sum(r["events"] for r in results)
    first = sorted(f for r in results for f in r["first"])
    gaps = sorted(g for r in results for g in r["gaps"])

    def percentile_ms(values: list[float], fraction: float) -> float:
        return 1000 * values[int(len(values) * fraction)]

    print(
        f"{streams:>7} {path:>7} {1e6 * per_token:>9.1f}"
        f" {percentile_ms(first, 0.95):>8.1f} {percentile_ms(gaps, 0.5):>7.1f}"
        f" {percentile_ms(gaps, 0.95):>7.1f} {percentile_ms(gaps, 0.99):>7.1f}"
        f" {events / seconds:>9.0f} {memory:>6.0f}"
    )


if __name__ == "__main__":
    main()
