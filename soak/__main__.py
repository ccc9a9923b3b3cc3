"""Runs gateway processes under random faults and checks them by an oracle.

Usage:
  soak [--seconds=N] [--seed=N] [--seeds=N] [--gateways=N] [--clients=N]
       [--keep=DIR] [--other=TREE]
  soak --help

The seed, which is printed, determines the schedule of faults. Faults are
started one after another and may overlap. After the last one,
idempotent, non-idempotent and streaming requests must be served again within a
time limit.

Options:
  --seconds=N   Seconds of faults for each seed [default: 20].
  --seed=N      The first seed; drawn if it is not given.
  --seeds=N     How many seeds to play, one after the other [default: 1].
  --gateways=N  Gateways, each a process [default: 4].
  --clients=N   Clients [default: 16].
  --keep=DIR    Where the logs of seeds that failed are kept [default: run].
  --other=TREE  Checkout of another release, whose gateways make up every
                second one, to play two releases together.
  --help        Show this text.

Exit codes: 0 if no check failed, 1 otherwise.
"""

import asyncio
import itertools
import pathlib
import random
import shutil
import sys
import tempfile
import time

import docopt

from soak import clients
from soak import conditions
from soak import faults
from soak import readers
from soak import releases
from soak import world as world_module

# Range of the time between the starts of two faults. Faults may last longer
# than that, so some overlap.
_FAULT_INTERVAL_SECONDS = (0.3, 1.8)
# Maximum time, at the start and after the last fault, until a request of each
# of `_KINDS` is served.
_RECOVERY_TIMEOUT_SECONDS = 15.0
_POLL_SECONDS = 0.2
_KINDS = ("get", "once", "gen", "live", "large")
_SLOW_READERS = 2
# The organisation that sends far more than usual does so with this many further
# clients, for this time out of each period.
_SURGE_CLIENTS = 8
_SURGE_SECONDS = 1.5
_SURGE_PERIOD_SECONDS = 4.0


async def _run_seed(
    folder: pathlib.Path, seed: int, options: dict[str, str]
) -> list[str]:
    """Runs one seed; returns the violations, one line each."""
    # Tasks of connections still open at the end are cancelled; these errors
    # are not reported.
    asyncio.get_running_loop().set_exception_handler(_handle_loop_error)
    rng = random.Random(seed)
    tally = clients.Tally()
    async with world_module.run_world(
        folder,
        int(options["--gateways"]),
        conditions.draw(seed),
        options["--other"],
    ) as world:
        print(f"seed {seed}: {world.conditions}", flush=True)
        count = int(options["--clients"])
        client_tasks = [
            asyncio.create_task(work)
            for work in (
                *(
                    clients.Client(world, tally, n, seed).run()
                    for n in range(count)
                ),
                *(
                    readers.SlowReader(world, tally, n, seed).run()
                    for n in range(_SLOW_READERS)
                ),
                _repeat_surges(world, tally, seed),
            )
        ]
        await _wait_until_served(world, tally, "at the start")
        seconds = float(options["--seconds"])
        await asyncio.gather(
            _inject_faults(world, rng, seconds),
            releases.repeat_releases(world, seed, seconds),
        )
        await _wait_until_served(world, tally, "after the faults")
        for task in client_tasks:
            task.cancel()
        # Requests in flight may still run. One that was reported as not run
        # must not.
        await asyncio.sleep(1.0)
        clients.check_runs(world, tally)
        print(
            f"seed {seed}: sent {tally.sent}, served {tally.served},"
            f" streams taken up {tally.taken_up},"
            f" memory {world.max_memory / 1e6:.0f} MB"
        )
        return world.oracle.violations


async def _repeat_surges(
    world: world_module.World, tally: clients.Tally, seed: int
) -> None:
    """Lets the first organisation send many times its usual at times."""
    if not world.conditions.organisations:
        return
    step = len(world.conditions.organisations)
    for period in itertools.count(1):
        await asyncio.sleep(_SURGE_PERIOD_SECONDS - _SURGE_SECONDS)
        # Numbers of clients of the first organisation that nobody else has.
        first = 1000 * step * period
        numbers = range(first, first + _SURGE_CLIENTS * step, step)
        tasks = [
            asyncio.create_task(clients.Client(world, tally, n, seed).run())
            for n in numbers
        ]
        try:
            await asyncio.sleep(_SURGE_SECONDS)
        finally:
            for task in tasks:
                task.cancel()


def _handle_loop_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def _inject_faults(
    world: world_module.World, rng: random.Random, seconds: float
) -> None:
    end = time.monotonic() + seconds
    running: set[asyncio.Task[None]] = set()
    while time.monotonic() < end:
        name = rng.choice(sorted(faults.FAULTS))
        print(f"  {end - time.monotonic():5.1f} {name}", flush=True)
        work = faults.FAULTS[name](world, rng)
        task = asyncio.ensure_future(work)
        running.add(task)
        task.add_done_callback(running.discard)
        pause = rng.uniform(*_FAULT_INTERVAL_SECONDS)
        for _ in range(int(pause / _POLL_SECONDS) + 1):
            await asyncio.sleep(_POLL_SECONDS)
            world.check_processes()
    for task in list(running):
        await task
    world.check_processes()


async def _wait_until_served(
    world: world_module.World, tally: clients.Tally, when: str
) -> None:
    tally.served.clear()
    end = time.monotonic() + _RECOVERY_TIMEOUT_SECONDS
    while any(kind not in tally.served for kind in _KINDS):
        if time.monotonic() > end:
            missing = [k for k in _KINDS if k not in tally.served]
            world.oracle.report_violation(
                f"RECOVER {missing} not served {when}"
            )
            return
        await asyncio.sleep(_POLL_SECONDS)
        world.check_processes()


def main() -> int:
    """Runs the seeds; returns the exit code."""
    assert __doc__ is not None
    options = docopt.docopt(__doc__)
    first = int(options["--seed"] or random.randrange(1_000_000))
    failed_seeds = 0
    for seed in range(first, first + int(options["--seeds"])):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            violations = asyncio.run(_run_seed(folder, seed, options))
            if violations:
                failed_seeds += 1
                logs = pathlib.Path(options["--keep"]) / f"soak-{seed}"
                shutil.copytree(folder, logs, dirs_exist_ok=True)
                print(
                    f"seed {seed}: {len(violations)} violations; logs in {logs}"
                )
    print(f"{options['--seeds']} seeds from {first}: {failed_seeds} failed")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
