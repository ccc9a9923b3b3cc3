"""The lease holder's computation of fair shares.

Instances report cumulative sums, so that the next report compensates for a lost
one. See `decisions.fair_share`.
"""

import asyncio
import dataclasses
import logging

from wayslip import clock
from wayslip import logs
from wayslip.decisions import fair_share
from wayslip.gateway.sharing import announcements
from wayslip.gateway.sharing import configuration
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import fair_shares
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import members as members_module

_LOG = logging.getLogger(__name__)
# Organisations in one state; each takes up to 80 bytes of its 30 KB.
_MAX_SHARES = 300
# Empty states are sent for this long after the last service that was short, so
# that a lost one leaves no instance with old shares.
_REPEAT_SECONDS = 2.0
# A new holder announces nothing until instances have reported twice: rates from
# less are too low, and the instances keep to the shares before.
_FIRST_SECONDS = 1.0
_FIRST_REPORTS = 2
# The rates of an instance not heard from for this long, and for this number of
# reports, no longer count.
_SILENCE_SECONDS = 5.0
_MISSED_REPORTS = 3

_Key = tuple[str, str]


@dataclasses.dataclass
class _Member:
    """A reporting process of an instance.

    Attributes:
        number: Number of its last report.
        sums: Units asked and used, by service and organisation.
        flows: Rates, by service and organisation.
    """

    process: str
    number: int
    received_at: float
    sums: dict[_Key, tuple[int, int]]
    flows: dict[_Key, fair_share.Flow]


class ShareAccounts:
    """Merges reports and announces shares while the lease is held."""

    def __init__(
        self,
        holder: configuration.Holder,
        leadership: leadership_module.Leadership,
        members: members_module.Members,
        hub: hub_module.Hub,
    ) -> None:
        self._terms_cache = fair_shares.TermsCache(holder)
        self._leadership = leadership
        self._members = members
        self._hub = hub
        self.begin()

    def begin(self) -> None:
        """Starts a term without any reports."""
        self._began_at = clock.now()
        self._short_at = clock.now()
        self._reporters: dict[str, _Member] = {}
        self._totals: dict[_Key, fair_share.Flow] = {}
        self._rooms: dict[str, fair_share.Room] = {}

    def record_report(self, report: facts.ShareReport) -> None:
        """Records the sums of an instance, unless its report is outdated."""
        now = clock.now()
        member = self._reporters.get(report.instance)
        if member is not None and member.process != report.process:
            self._drop_flows(member)
            member = None
        if member is None:
            member = _Member(report.process, -1, self._began_at, {}, {})
            self._reporters[report.instance] = member
        if report.number <= member.number:
            return
        seconds = now - member.received_at
        member.number, member.received_at = report.number, now
        reported = {(u.service, u.organisation): u for u in report.uses}
        terms = self._terms_cache.terms
        for key in member.flows.keys() | reported.keys():
            if not terms.covers(*key):
                member.flows.pop(key, None)
                member.sums.pop(key, None)
                continue
            before = member.sums.get(key, (0, 0))
            use = reported.get(key)
            sums = before if use is None else (use.asked, use.used)
            member.sums[key] = sums
            flow = member.flows.get(key, fair_share.NO_FLOW)
            member.flows[key] = flow.update(
                sums[0] - before[0], sums[1] - before[1], seconds
            )
            self._replace_flow(key, flow, member.flows[key])

    def list_shares(self) -> tuple[facts.ShareLevel, ...]:
        """Returns the shares in all services that are short of room."""
        now = clock.now()
        self._drop_silent(now)
        terms = self._terms_cache.terms
        self._totals = {
            key: flow
            for key, flow in self._totals.items()
            if terms.covers(*key)
        }
        found: list[facts.ShareLevel] = []
        for service in sorted(terms.services):
            flows = self._select(service)
            room = self._observe_room(service, flows, now)
            if room.is_short:
                found += self._divide(service, room, flows)
        found.sort(key=lambda s: s.rate / max(s.demand, 1.0))
        return tuple(found[:_MAX_SHARES])

    def _select(self, service: str) -> dict[str, fair_share.Flow]:
        """Returns the rates over all instances by organisation."""
        return {
            organisation: flow
            for (name, organisation), flow in self._totals.items()
            if name == service
        }

    def _replace_flow(
        self, key: _Key, before: fair_share.Flow, after: fair_share.Flow
    ) -> None:
        total = self._totals.get(key, fair_share.NO_FLOW)
        self._totals[key] = total.replace(before, after)

    def _observe_room(
        self, service: str, flows: dict[str, fair_share.Flow], now: float
    ) -> fair_share.Room:
        asked = sum(f.demand for f in flows.values())
        used = sum(f.used for f in flows.values())
        before = self._rooms.get(service, fair_share.Room())
        room = before.observe(asked, used, now)
        self._rooms[service] = room
        if room.is_short is not before.is_short:
            logs.event(
                _LOG,
                "room_short" if room.is_short else "room_enough",
                service=service,
                room=round(room.rate),
                asked=round(asked),
                used=round(used),
                organisations=len(flows),
            )
        return room

    def _divide(
        self,
        service: str,
        room: fair_share.Room,
        flows: dict[str, fair_share.Flow],
    ) -> list[facts.ShareLevel]:
        weights = self._terms_cache.terms.weights
        demands = {name: flow.demand for name, flow in flows.items()}
        rates = fair_share.divide(room.rate, demands, weights)
        found = []
        for name, flow in flows.items():
            guaranteed = fair_share.find_guaranteed(room.rate, weights[name])
            demand = fair_share.find_excess_demand(
                flow, rates[name], guaranteed
            )
            found.append(
                facts.ShareLevel(
                    service, name, round(rates[name]), round(demand)
                )
            )
        return found

    def _drop_silent(self, now: float) -> None:
        """Drops the rates of silent instances; their sums stay known.

        An instance without requests sends no reports. Without the sums before,
        its next ones would count again.
        """
        interval = fair_shares.find_report_seconds(len(self._reporters))
        limit = max(_SILENCE_SECONDS, _MISSED_REPORTS * interval)
        for member in self._reporters.values():
            if member.flows and now - member.received_at > limit:
                self._drop_flows(member)

    def _drop_flows(self, member: _Member) -> None:
        for key, flow in member.flows.items():
            self._replace_flow(key, flow, fair_share.NO_FLOW)
        member.flows.clear()

    def make_state(self) -> facts.ShareState | None:
        """Returns the state to announce, None if nothing is to be said."""
        if not self._terms_cache.terms.services:
            return None
        now = clock.now()
        shares = self.list_shares()
        interval = fair_shares.find_report_seconds(len(self._reporters))
        if now - self._began_at < max(
            _FIRST_SECONDS, _FIRST_REPORTS * interval
        ):
            return None
        if shares:
            self._short_at = now
        elif now - self._short_at > _REPEAT_SECONDS:
            return None
        return facts.ShareState(self._leadership.seen_term, shares)

    async def run(self) -> None:
        """Announces shares until cancelled, while the lease is held."""
        while True:
            await asyncio.sleep(announcements.STATE_INTERVAL_SECONDS)
            state = self.make_state() if self._leadership.is_held else None
            if state is not None:
                self._hub.broadcast(state, self._members.peers())
