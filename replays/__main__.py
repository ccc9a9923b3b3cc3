"""Replays load patterns against the decision code and prints JSON.

Usage:
    replays spread [--seeds N] [--instances N] [--copies N] [--load SHARE]

Options:
    --seeds N       Number of seeds, from 1 on [default: 3].
    --instances N   Instances that send requests [default: 195].
    --copies N      Endpoints that hold the model [default: 4].
    --load SHARE    Load as a share of their capacity [default: 0.85].
"""

import concurrent.futures
import dataclasses
import json
import sys

import docopt

from replays import spread


def main() -> None:
    """Replays all seeds with and without load spreading."""
    arguments = docopt.docopt(__doc__)
    try:
        seeds = range(1, int(arguments["--seeds"]) + 1)
        base = spread.Settings(
            instances=int(arguments["--instances"]),
            copies=int(arguments["--copies"]),
            load=float(arguments["--load"]),
        )
    except ValueError as e:
        sys.exit(f"an option is not a number ({e}); see --help")
    if min(len(seeds), base.instances, base.copies) < 1 or base.load <= 0:
        sys.exit("seeds, instances, copies and load have to be above 0")
    results = []
    with concurrent.futures.ProcessPoolExecutor() as workers:
        for spreads in (False, True):
            settings = dataclasses.replace(base, spreads=spreads)
            replayed = workers.map(
                spread.replay, [settings] * len(seeds), list(seeds)
            )
            results += [
                {"spreads": spreads, "seed": seed, **dataclasses.asdict(result)}
                for seed, result in zip(seeds, replayed, strict=True)
            ]
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
