"""Compares routing and admission policies under simulated load scenarios.

    python -m bench.decisions [--seeds 5] [--seconds 60]
        [--users authority,association]

The decisions are made by the production code; engines are simulated by
bench/fake.py. Prints attainment (share of requests with the first token within
the target) for all requests and for the dispatch class, delays, and the
elapsed time per decision.
"""

import argparse
import random
import statistics
import time

from bench import fake
from wayslip import settings
from wayslip.decisions import admission
from wayslip.decisions import routing
from wayslip.entry import prefixes

POLICIES = (
    "random",
    "round-robin",
    "least-outstanding",
    "two-choices",
    "prefix-affinity",
    "predicted",
)
USERS = {
    # Engines of the language pool, models, requests per second at peak.
    "authority": (6, 26, 33.0),
    "association": (9, 39, 50.0),
}
SCENARIOS = ("quiet", "rush", "burst", "death", "overload")
ENTRIES = 6


class Entry:
    """One entry's view of the engines, kept by the production classes."""

    def __init__(self, pool: fake.Pool, policy: str, seed: int) -> None:
        self._pool = pool
        self._policy = policy
        self._rng = random.Random(seed)
        self._prefixes = prefixes.PrefixIndex()
        self._sent: dict[str, list[routing.Sent]] = {}
        self._in_flight: dict[str, int] = {}
        self._round_robin_index = seed
        self.peers: list[Entry] = []
        self.decision_seconds = 0.0
        self.decisions = 0

    def choose(self, job: fake.Job) -> routing.Choice:
        """Returns the engine for a job."""
        began = time.perf_counter()
        names = [
            n
            for n, e in self._pool.engines.items()
            if not e.is_dead and job.model in e.resident
        ]
        home = routing.find_home(job.prompt, names)
        candidates = [self._candidate(n, job, n == home) for n in names]
        if self._policy == "round-robin":
            self._round_robin_index += 1
            chosen = candidates[self._round_robin_index % len(candidates)]
            delay = routing.predict_first_token(chosen, job.tokens)
            choice = routing.make_choice(chosen, delay)
        else:
            sample = routing.sample_candidates(candidates, self._rng)
            policy = routing.POLICIES.get(self._policy)
            choice = policy(sample, job.tokens, self._rng)
        self.decision_seconds += time.perf_counter() - began
        self.decisions += 1
        return choice

    def _candidate(
        self, name: str, job: fake.Job, is_home: bool
    ) -> routing.Candidate:
        cached = self._prefixes.count_cached(name, job.prompt)
        if is_home:
            cached = routing.expect_cached(cached, job.prompt)
        at, running, waiting = self._pool.reports.get(name, (0.0, 0, 0))
        sent = [s for s in self._sent.get(name, ()) if s.at > at]
        self._sent[name] = sent
        # Peers report what they sent with a delay of half a report interval.
        reported_until = self._pool.clock.now - fake.REPORT_LAG_SECONDS / 2
        reported = [
            s
            for p in self.peers
            for s in p._sent.get(name, ())
            if at < s.at <= reported_until
        ]
        peers = len(self.peers)
        unseen = routing.estimate_unseen(sent, reported_until, peers)
        known = sorted((*sent, *reported, *unseen), key=lambda s: s.at)
        return routing.Candidate(
            name=name,
            running=running,
            slots=fake.SLOTS,
            backlog=routing.estimate_backlog(
                waiting,
                at,
                known,
                job.rank,
                fake.PREFILL_RATE,
                self._pool.clock.now,
            ),
            sent=len(sent) + len(reported) + len(unseen) * peers,
            prefill_rate=fake.PREFILL_RATE,
            step=fake.STEP_SECONDS,
            cached_tokens=cached,
            in_flight=self._in_flight.get(name, 0),
        )

    def send(self, job: fake.Job, choice: routing.Choice) -> None:
        """Sends a job to the chosen engine."""
        name = choice.name
        cached = self._prefixes.count_cached(name, job.prompt)
        uncached = max(job.tokens - cached, 1)
        sent = routing.Sent(self._pool.clock.now, uncached, job.rank)
        self._sent.setdefault(name, []).append(sent)
        self._prefixes.note_sent(name, job.prompt)
        self._in_flight[name] = self._in_flight.get(name, 0) + 1

        def on_end() -> None:
            self._in_flight[name] -= 1

        self._pool.submit(self._pool.engines[name], job, on_end)


def run(
    user: str, scenario: str, policy: str, admit: str, seed: int, seconds: float
) -> tuple[fake.Result, float]:
    """Returns the result of one scenario and the microseconds per decision."""
    engines, models, busy = USERS[user]
    rates = {"quiet": 0.3, "rush": 1.0, "burst": 0.7, "death": 0.7}
    rate = busy * rates.get(scenario, 3.0)
    burst = seconds / 3 if scenario == "burst" else 0.0
    clock = fake.Clock()
    names = [f"e{n}" for n in range(engines)]
    pool = fake.Pool(names, clock)
    # Each model is on three engines, as in a placement with replicas.
    for n in range(models):
        for k in range(3):
            pool.engines[names[(n + k * 2) % engines]].resident.add(f"m{n}")
    entries = [Entry(pool, policy, seed * 100 + n) for n in range(ENTRIES)]
    for entry in entries:
        entry.peers = [e for e in entries if e is not entry]
    jobs = fake.make_jobs(fake.Workload(rate, models, seconds, burst), seed)
    rng = random.Random(seed)
    check_admission = admission.POLICIES.get(admit)
    limits = settings.Admission(policy=admit)
    in_entry = [0] * ENTRIES

    def arrive(job: fake.Job) -> None:
        number = rng.randrange(ENTRIES)
        entry = entries[number]
        pool.result.arrived[job.priority] += 1
        choice = entry.choose(job)
        caller = settings.Caller(
            name="c", key="k" * 16, priority=job.priority, max_in_flight=10_000
        )
        load = admission.Load(
            in_entry[number],
            0,
            entry._in_flight.get(choice.name, 0),
            ENTRIES,
            choice.predicted,
            60.0,
            choice.occupancy,
        )
        if check_admission(load, caller, limits) is not None:
            pool.result.refused[job.priority] += 1
            return
        entry.send(job, choice)

    for job in jobs:
        clock.add(job.at, lambda j=job: arrive(j))
    if scenario == "death":
        clock.add(seconds / 2, lambda: _kill(pool, entries, names[0]))
    clock.run(seconds * 1.5)
    decision_seconds = sum(e.decision_seconds for e in entries)
    decided = sum(e.decisions for e in entries)
    return pool.result, 1e6 * decision_seconds / max(decided, 1)


def _kill(pool: fake.Pool, entries: list[Entry], name: str) -> None:
    for job, _ in pool.kill(name):
        entry = entries[job.id % ENTRIES]
        entry.send(job, entry.choose(job))


def _quantile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[int(len(ordered) * fraction)] if ordered else 0.0


def main() -> None:
    """Prints a row for each user, scenario and pair of policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--users", default=",".join(USERS))
    parser.add_argument("--stretches", default=",".join(SCENARIOS))
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--admit", default="limits,deadline")
    args = parser.parse_args()
    print(
        f"{'user':>11} {'stretch':>8} {'routing':>17} {'admit':>8}"
        f" {'attain%':>8} {'spread':>6} {'disp%':>6}"
        f" {'first50':>7} {'first95':>7} {'first99':>7} {'gap95':>5}"
        f" {'us':>5}"
    )
    for user in args.users.split(","):
        for scenario in args.stretches.split(","):
            for policy in args.policies.split(","):
                for admit in args.admit.split(","):
                    _print_row(user, scenario, policy, admit, args)


def _print_row(
    user: str, scenario: str, policy: str, admit: str, args: argparse.Namespace
) -> None:
    shares, dispatch, firsts, gaps, costs = [], [], [], [], []
    for seed in range(args.first_seed, args.first_seed + args.seeds):
        result, cost = run(user, scenario, policy, admit, seed, args.seconds)
        arrived = sum(result.arrived.values())
        shares.append(100 * sum(result.attained.values()) / arrived)
        dispatch.append(
            100 * result.attained["dispatch"] / result.arrived["dispatch"]
        )
        firsts += [f for values in result.first.values() for f in values]
        gaps += result.gaps
        costs.append(cost)
    print(
        f"{user:>11} {scenario:>8} {policy:>17} {admit:>8}"
        f" {statistics.mean(shares):>8.2f} {statistics.pstdev(shares):>6.2f}"
        f" {statistics.mean(dispatch):>6.1f}"
        f" {_quantile(firsts, 0.5):>7.3f} {_quantile(firsts, 0.95):>7.3f}"
        f" {_quantile(firsts, 0.99):>7.3f} {1000 * _quantile(gaps, 0.95):>5.0f}"
        f" {statistics.mean(costs):>5.0f}",
        flush=True,
    )


if __name__ == "__main__":
    main()
