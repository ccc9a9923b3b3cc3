"""Fuzzes the ledger by a random walk against simulated engine memory.

Run `python scripts/fuzz_ledger.py --steps 1000000 --seed 1`. It prints its
seed, and fails at the step at which memory is overcommitted.
"""

import argparse
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from tests.stateful import ledger_world  # noqa: E402

_WORLD_STEPS = 5_000


def main() -> None:
    """Runs the random walk with and without fence checks."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=1_000_000)
    parser.add_argument("--seed", type=int, default=None)
    args = parser.parse_args()
    seed = time.time_ns() if args.seed is None else args.seed
    print(f"seed={seed}")
    for checks_fence in (True, False):
        loads = _walk(checks_fence, args.steps // 2, seed)
        print(
            f"checks_fence={checks_fence} steps={args.steps // 2}"
            f" loads={loads} overcommits=0"
        )


def _walk(checks_fence: bool, steps: int, seed: int) -> int:
    loads = 0
    for first in range(0, steps, _WORLD_STEPS):
        rng = random.Random(f"{seed}-{first}")
        world = ledger_world.LedgerWorld(checks_fence)
        world.observe(0)
        for _ in range(min(_WORLD_STEPS, steps - first)):
            world.step(rng)
        loads += world.loads
    return loads


if __name__ == "__main__":
    main()
