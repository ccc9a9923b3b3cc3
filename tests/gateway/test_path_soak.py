"""Random cuts between gateways and endpoints, with restarts, checked by rules.

Run more or other seeds by hand:

    PATH_SOAK_SEEDS=50 PATH_SOAK_FIRST=100 PATH_SOAK_GATEWAYS=20 \
        python -m pytest tests/gateway/test_path_soak.py
"""

import asyncio
import collections
import contextlib
import os
import random

import pytest

from soak import links
from tests.gateway import harness

SECONDS = 6.0
GATEWAYS = int(os.environ.get("PATH_SOAK_GATEWAYS", "6"))
HALLS = ("hall-1", "hall-2")
CLIENTS_PER_GATEWAY = 2
MODELS = ("m1", "m2", "m3")
FIRST = int(os.environ.get("PATH_SOAK_FIRST", "3"))
SEEDS = range(FIRST, FIRST + int(os.environ.get("PATH_SOAK_SEEDS", "2")))
# From this long after a cut, instances must serve as the others do.
CONTACT_SECONDS = 3.0
MIN_SHARE = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50
PAUSE_SECONDS = (0.1, 0.9)


class Soak:
    """A system under cuts, and what its callers and endpoints saw."""

    def __init__(self, system, seed):
        self.system = system
        self.rng = random.Random(seed)
        self.gateways = []
        self.cut_since = {}
        self.count = 0
        self.refused = set()
        # Outcomes of first tries: [served, failed], at instances that are cut
        # off and at others.
        self.outcomes = {True: [0, 0], False: [0, 0]}
        self.violations = []

    async def start(self):
        for model in MODELS:
            await self.system.add(f"p{model}", "plain")
            await self.system.add(f"e{model}", "models", [model])
        self.gateways = [self.system.gateway]
        self.gateways += await self.system.join_all(GATEWAYS // 2 - 1, HALLS[0])
        self.gateways += await self.system.join_all(
            GATEWAYS - GATEWAYS // 2, HALLS[1]
        )
        for gateway in self.gateways:
            await self._prepare(gateway)

    async def _prepare(self, gateway):
        await self.system.until(lambda: len(gateway.view.tracked) == 6)
        self.system.install_links(gateway)

    async def run(self):
        clients = [
            asyncio.create_task(self.send(number))
            for number in range(GATEWAYS * CLIENTS_PER_GATEWAY)
        ]
        loop = asyncio.get_running_loop()
        end = loop.time() + SECONDS
        actions = (self.cut, self.cut_hall, self.heal, self.restart)
        while loop.time() < end:
            await self.rng.choice(actions)()
            await asyncio.sleep(self.rng.uniform(*PAUSE_SECONDS))
        for gateway in self.gateways:
            self._set(gateway, links.State.WHOLE)
        await self.check_recovered()
        for client in clients:
            client.cancel()
        self.check_runs()
        self.check_shares()

    # Faults

    def _set(self, gateway, state):
        self.system.links[gateway].cut(state)
        self.cut_since.pop(gateway, None)
        if state is not links.State.WHOLE:
            self.cut_since[gateway] = asyncio.get_running_loop().time()

    async def cut(self):
        """Cuts some gateways off from all endpoints, never all of them."""
        whole = [g for g in self.gateways if g not in self.cut_since]
        count = self.rng.randint(0, len(whole) - 1)
        state = self.rng.choice([s for s in links.State if s.value != "whole"])
        for gateway in self.rng.sample(whole, count):
            self._set(gateway, state)

    async def cut_hall(self):
        """Cuts a data hall off from all endpoints, if others are whole."""
        hall = self.rng.choice(HALLS)
        inside = [g for g in self.gateways if g._options.data_hall == hall]
        others = [g for g in self.gateways if g not in inside]
        if all(g in self.cut_since for g in others):
            return
        state = self.rng.choice([s for s in links.State if s.value != "whole"])
        for gateway in inside:
            if gateway not in self.cut_since:
                self._set(gateway, state)

    async def heal(self):
        cut = [g for g in self.gateways if g in self.cut_since]
        for gateway in self.rng.sample(cut, self.rng.randint(0, len(cut))):
            self._set(gateway, links.State.WHOLE)

    async def restart(self):
        """Kills a gateway, perhaps the holder, and starts another one."""
        if self.rng.random() < 0.5:
            return
        gateway = self.rng.choice(self.gateways)
        self.gateways.remove(gateway)
        self.cut_since.pop(gateway, None)
        await self.system.kill(gateway)
        name = f"g{gateway._options.name}{self.rng.randrange(1000)}"
        options = harness.make_options(
            name, self.system.options.store, gateway._options.data_hall
        )
        started = self.system._launch(options)
        await self.system.until(started.is_ready)
        await self._prepare(started)
        self.gateways.append(started)

    # Callers

    async def send(self, number):
        rng = random.Random(number)
        while True:
            gateway = self.gateways[number % len(self.gateways)]
            kind = rng.choice(["get", "once", "gen"])
            fields = {}
            if kind == "gen":
                model = rng.choice(MODELS)
                fields = {"Wayslip_Model": model, "Wayslip_Token_Count": "9,2"}
            self.count += 1
            request = f"{kind}-{self.count}"
            is_cut = self.is_settled(gateway)
            status = await self.ask(gateway, f"/{kind}/a", request, fields)
            if is_cut is not None and gateway in self.gateways:
                self.outcomes[is_cut][status != 200] += 1
            if status == 503:
                self.refused.add(request)
            await asyncio.sleep(rng.uniform(0, 0.1))

    def is_settled(self, gateway):
        """Whether a gateway is cut off; None shortly after a change."""
        since = self.cut_since.get(gateway)
        if since is None:
            return False
        now = asyncio.get_running_loop().time()
        return True if now - since >= CONTACT_SECONDS else None

    async def ask(self, gateway, path, request, fields):
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(4.0):
                answer = await self.system.ask(
                    path, request, "POST", at=gateway, **fields
                )
                if answer.status == 200 and answer.is_whole:
                    self.check_answer(request, answer)
                    return 200
                return answer.status
        return 0

    # Checks

    def check_answer(self, request, answer):
        echoed = answer.headers.get("wayslip-request-id")
        if echoed != request or answer.body.decode() not in self.system.engines:
            self.violations.append(f"MIXED {request}: {answer}")

    async def check_recovered(self):
        for gateway in self.gateways:
            for kind in ("get", "once"):
                await self._ask_until_served(gateway, kind)

    async def _ask_until_served(self, gateway, kind):
        async with asyncio.timeout(10.0):
            while True:
                self.count += 1
                request = f"{kind}-{self.count}"
                status = await self.ask(gateway, f"/{kind}/a", request, {})
                if status == 200:
                    return
                await asyncio.sleep(0.05)

    def check_runs(self):
        runs = collections.Counter(
            r.id for e in self.system.engines.values() for r in e.received
        )
        for request, count in runs.items():
            if count > 1 and request.startswith("once"):
                self.violations.append(f"TWICE {request} ran {count} times")
            if request.startswith("once") and request in self.refused:
                self.violations.append(f"REFUSED {request} has run")

    def check_shares(self):
        served, failed = self.outcomes[True]
        others_served, others_failed = self.outcomes[False]
        total = served + failed + others_served + others_failed
        share = served / max(served + failed, 1)
        others = others_served / max(others_served + others_failed, 1)
        if share >= MIN_SHARE * others:
            return
        if failed > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * total:
            self.violations.append(f"RECOVER {self.outcomes}")


@pytest.mark.parametrize("seed", SEEDS)
def test_cuts_and_restarts_break_no_rule(seed):
    @harness.run
    async def check(system):
        soak = Soak(system, seed)
        await soak.start()
        await soak.run()
        assert not soak.violations
        assert soak.count

    check()
