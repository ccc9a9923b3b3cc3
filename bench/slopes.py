"""Measures how the cost of each part of the control plane grows with size.

    python -m bench.slopes [SECTION ...]

docs/CAPACITY.md uses the results. Each section measures three sizes or more.
Times are processor time of this machine; sizes are bytes on the wire or in the
store.
"""

import collections
import json
import random
import sys
import time
import tracemalloc
from typing import Any

from wayslip import registry
from wayslip.decisions import catalog
from wayslip.decisions import configuration
from wayslip.decisions import facts
from wayslip.decisions import journal
from wayslip.decisions import ledger
from wayslip.decisions import membership
from wayslip.decisions import placement
from wayslip.decisions import routing
from wayslip.entry import prefixes
from wayslip.objects import kinds
from wayslip.peers import frames
from wayslip.peers import messages

SECTIONS: registry.Registry[Any] = registry.Registry("section")
_KEY = b"0123456789abcdef"


def measure_cpu(action: Any, min_seconds: float = 0.3) -> float:
    """Returns the processor time of one call of an action, seconds.

    Args:
        action: Called repeatedly.
        min_seconds: Processor time of all calls together, at least.
    """
    count = 1
    while True:
        began = time.process_time()
        for _ in range(count):
            action()
        spent = time.process_time() - began
        if spent >= min_seconds:
            return spent / count
        count = max(count * 2, int(count * min_seconds / max(spent, 1e-6)))


# Membership


class Fleet:
    """Memberships in simulated time whose messages arrive without delay."""

    def __init__(self, size: int, seed: int = 1, seeds: int = 0) -> None:
        # Addresses on one side of a network partition; messages between the
        # sides are lost.
        self.parted: set[str] = set()
        self.nodes: dict[str, membership.Membership] = {}
        self.now = 0.0
        self.sent = 0
        self.bytes = 0
        first: list[membership.Member] = []
        for n in range(size):
            address = f"10.0.{n // 250}.{n % 250}:7000"
            member = membership.Member(
                f"entry/i{n}", membership.Role.ENTRY, address, "hall", 1, 1
            )
            first.append(member)
            known = tuple(m.address for m in first[:seeds])
            rng = random.Random(seed * 10_000 + n)
            self.nodes[address] = membership.Membership(
                member, known, 0.5, 2.0, rng
            )
        for node in self.nodes.values():
            # All members know each other, and no update is left to send.
            node._members.update((m.name, m) for m in first)
            node._sends_left.clear()

    def tick(self, seconds: float = 0.1) -> None:
        """Advances the time of all members."""
        self.now += seconds
        for address, node in list(self.nodes.items()):
            self._deliver(address, node.tick(self.now))

    def _deliver(
        self, source: str, outgoing: list[membership.Outgoing]
    ) -> None:
        pending = collections.deque((source, o) for o in outgoing)
        while pending:
            sender, out = pending.popleft()
            self.sent += 1
            node = self.nodes.get(out.address)
            is_partitioned = (sender in self.parted) != (
                out.address in self.parted
            )
            if node is None or is_partitioned:
                continue
            answers = node.receive(out.message, sender, self.now)
            pending.extend((out.address, a) for a in answers)


@SECTIONS.register("membership")
def measure_membership() -> None:
    """Measures messages, processor time and dissemination delays."""
    print("membership: members us/member/s msgs/member/s spread_s death_s")
    for size in (18, 100, 400, 1600):
        fleet = Fleet(size)
        for _ in range(5):
            fleet.tick()
        fleet.sent = 0
        began = time.process_time()
        for _ in range(20):
            fleet.tick()
        spent = (time.process_time() - began) / size / 2.0
        sent = fleet.sent / size / 2.0
        print(
            f"{size:>8} {1e6 * spent:>8.0f} {sent:>6.2f}"
            f" {_measure_dissemination(fleet):>8.1f}"
            f" {_measure_failure_detection(fleet):>8.1f}",
            flush=True,
        )
    member = membership.Member(
        "entry/salt-lake-100",
        membership.Role.ENTRY,
        "10.0.100.100:7000",
        "salt-lake",
        1_796_000_000_000,
        1_796_000_000_000,
    )
    probe = membership.Message(
        membership.Probe.PING, 12345, member.name, (member,)
    )
    for count in (0, 4, 8):
        fact = facts.Fact(facts.Topic.LEAVING, "engine-1", member.name, 1e9)
        gossip = messages.Gossip(probe, (fact,) * count, 5)
        data = frames.seal_datagram(_KEY, gossip, 1e9)
        seal = measure_cpu(lambda g=gossip: frames.seal_datagram(_KEY, g, 1e9))
        opened = measure_cpu(lambda d=data: frames.open_datagram(_KEY, d, 1e9))
        print(
            f"datagram with {count} facts: {len(data)} bytes,"
            f" seal {1e6 * seal:.0f} us, open {1e6 * opened:.0f} us"
        )


def _measure_dissemination(fleet: Fleet) -> float:
    """Returns the seconds until all know that a member leaves, at most 60."""
    leaving_node = next(iter(fleet.nodes.values()))
    name = leaving_node.me.name
    leaving_node.leave()
    began = fleet.now
    leaving = membership.Status.LEAVING

    def is_known(node: membership.Membership) -> bool:
        member = node.get(name)
        return member is not None and member.status is leaving

    while not all(is_known(n) for n in fleet.nodes.values()):
        fleet.tick()
        if fleet.now - began > 60:
            return 60.0
    return fleet.now - began


def _measure_failure_detection(fleet: Fleet) -> float:
    """Returns the seconds until all know that a member is dead, at most 60.

    The member is removed without notice and stops answering.
    """
    address, failed = next(reversed(fleet.nodes.items()))
    del fleet.nodes[address]
    began = fleet.now
    dead = membership.Status.DEAD

    def is_known(node: membership.Membership) -> bool:
        member = node.get(failed.me.name)
        return member is None or member.status is dead

    while not all(is_known(n) for n in fleet.nodes.values()):
        fleet.tick()
        if fleet.now - began > 60:
            return 60.0
    return fleet.now - began


# Configuration


def make_configuration(
    models: int, engines: int
) -> configuration.Configuration:
    """Returns a configuration with this number of models and engines."""
    names = tuple(f"engine-{n}" for n in range(engines))
    values: list[configuration.Value] = [configuration.Pool("p", names)]
    for n in range(models):
        values.append(configuration.Model(f"model-{n}", "p", "v1"))
        values.append(configuration.Version(f"model-{n}", "v1", 20 * 10**9))
        for k in range(3):
            values.append(
                configuration.Adapter(
                    f"adapter-{n}-{k}", f"model-{n}", "v1", 10**8
                )
            )
    for n in range(engines):
        items = tuple(f"model-{(n + k) % models}@v1" for k in range(4))
        values.append(configuration.Placement(names[n], items))
    change = configuration.Change(tuple(values))
    return configuration.Configuration().apply(change, "p0", "olga")


@SECTIONS.register("configuration")
def measure_configuration() -> None:
    """Measures a whole configuration and the delta of one change."""
    print(
        "configuration: models engines bytes change_bytes merge_ms catalog_ms"
    )
    for models, engines in ((26, 6), (100, 1000), (290, 12000)):
        whole = make_configuration(models, engines)
        size = len(json.dumps(kinds.CONFIGURATION.dump(whole)))
        value = configuration.Model("model-1", "p", "v1", 2)
        after = whole.apply(
            configuration.Change((value,)), "p-0123456789", "olga"
        )
        delta = after.delta(whole.generation)
        frame = frames.seal_datagram(_KEY, messages.Pulled(delta), 1e9)
        merge = measure_cpu(lambda w=whole, d=delta: w.merge(d))
        build = measure_cpu(lambda a=after: catalog.build_catalog(a))
        print(
            f"{models:>6} {engines:>6} {size:>9} {len(frame):>6}"
            f" {1e3 * merge:>7.2f} {1e3 * build:>7.2f}"
        )


# Ledgers


@SECTIONS.register("ledger")
def measure_ledger() -> None:
    """Measures the size of a ledger and the cost of a report and an order."""
    print("ledger: items bytes observe_us begin_us")
    for items in (4, 12, 40):
        held = ledger.Ledger("engine-1", 10**6, True, boot=1)
        names = [f"model-{n}@v1" for n in range(items)]
        for n, name in enumerate(names):
            begun = held.begin_load(name, 10, f"a{n}", "control/i#1")
            assert isinstance(begun, ledger.Ledger)
            seen = ledger.Residency(
                1, n + 1, frozenset(), frozenset(names[: n + 1])
            )
            held = begun.settle(f"a{n}", ledger.Outcome.APPLIED, seen)
        report = ledger.Residency(1, items, frozenset(), frozenset(names))
        size = len(json.dumps(kinds.LEDGER.dump(held)))
        observe = measure_cpu(lambda h=held, r=report: h.observe(r, 1.0, 60.0))
        begin = measure_cpu(lambda h=held: h.begin_load("x", 1, "b", "me"))
        print(f"{items:>5} {size:>6} {1e6 * observe:>8.0f} {1e6 * begin:>6.0f}")


# Routing


@SECTIONS.register("routing")
def measure_routing() -> None:
    """Measures the cost of a decision and the memory of the prefix index."""
    print("routing: candidates decision_us")
    rng = random.Random(1)
    for count in (6, 100, 1000, 12000):
        candidates = [
            routing.Candidate(f"e{n}", running=n % 20) for n in range(count)
        ]

        def decide(found: list[routing.Candidate] = candidates) -> None:
            sample = routing.sample_candidates(found, rng)
            routing.choose_predicted(sample, 500, rng)

        print(f"{count:>6} {1e6 * measure_cpu(decide):>8.1f}")
    tracemalloc.start()
    index = prefixes.PrefixIndex()
    for engine in range(8):
        for first in range(0, 4096, 16):
            blocks = tuple(
                engine * 10**6 + first + k + 2**60 for k in range(16)
            )
            index.note_sent(f"e{engine}", blocks)
    size = tracemalloc.get_traced_memory()[0] / 8
    tracemalloc.stop()
    print(f"prefix index: {size / 1024:.0f} KiB an engine")


# Journal


@SECTIONS.register("journal")
def measure_journal() -> None:
    """Measures the bytes per record and the cost of encoding a segment."""
    print("journal: records bytes bytes/record write_ms")
    for count in (10, 100, 1000):
        segment = journal.Segment(0)
        for n in range(count):
            key = journal.digest_key("till", str(n))
            runner = f"entry/i#1796000000000/{n:032x}"
            started = segment.start(key, key, runner, 1.0)
            assert isinstance(started, journal.Segment)
            kept = journal.Answer(200, "application/json", b"x" * 120)
            segment = started.finish(key, runner, journal.State.DONE, kept, 2.0)

        def write(of: journal.Segment = segment) -> str:
            return json.dumps(kinds.SEGMENT.dump(of))

        size = len(write())
        print(
            f"{count:>6} {size:>8} {size / count:>6.0f}"
            f" {1e3 * measure_cpu(write):>7.2f}"
        )


# Placement


@SECTIONS.register("placement")
def measure_placement() -> None:
    """Measures the placement of all models of a pool on its engines."""
    print("placement: models engines ms")
    for models, engines in ((26, 6), (100, 100), (290, 400)):
        whole = make_configuration(models, engines)
        names = catalog.build_catalog(whole)
        states = {
            f"engine-{n}": placement.EngineState(f"engine-{n}", 300 * 10**9, {})
            for n in range(engines)
        }
        counts = {m: max(engines // models, 1) for m in names.models}
        began = time.process_time()
        placed = placement.place(names, states, counts)
        spent = time.process_time() - began
        print(
            f"{models:>6} {engines:>6} {1e3 * spent:>9.1f}"
            f" {type(placed).__name__}"
        )


def main() -> None:
    """Runs the sections given as arguments, or all."""
    for name in sys.argv[1:] or list(SECTIONS):
        SECTIONS.get(name)()


if __name__ == "__main__":
    main()
