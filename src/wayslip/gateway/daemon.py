"""Assembles the gateway, runs it and shuts it down."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import logging
import signal
from typing import Any

from wayslip import addresses
from wayslip import clock
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import fleet
from wayslip.decisions import intake
from wayslip.decisions import manifest
from wayslip.decisions import retry_pacing
from wayslip.gateway import admission
from wayslip.gateway import dialect as dialect_module
from wayslip.gateway import lag
from wayslip.gateway import options as options_module
from wayslip.gateway import pages
from wayslip.gateway import store as store_module
from wayslip.gateway.planning import (
    detached_operation as detached_operation_module,
)
from wayslip.gateway.planning import engines as engines_module
from wayslip.gateway.planning import link_watch
from wayslip.gateway.planning import order_sender as order_sender_module
from wayslip.gateway.planning import planner as planner_module
from wayslip.gateway.serving import requests as requests_module
from wayslip.gateway.sharing import announcements
from wayslip.gateway.sharing import configuration
from wayslip.gateway.sharing import configuration_sync
from wayslip.gateway.sharing import copy_client
from wayslip.gateway.sharing import endpoint_follower
from wayslip.gateway.sharing import endpoint_paths
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import fair_shares as fair_shares_module
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import limits as limits_module
from wayslip.gateway.sharing import members as members_module
from wayslip.gateway.sharing import peer_broadcast
from wayslip.gateway.sharing import permit_broker as permit_broker_module
from wayslip.gateway.sharing import place_broker as place_broker_module
from wayslip.gateway.sharing import placement as placement_module
from wayslip.gateway.sharing import quarantine as quarantine_module
from wayslip.gateway.sharing import quota_accounts as quota_accounts_module
from wayslip.gateway.sharing import records
from wayslip.gateway.sharing import share_accounts as share_accounts_module
from wayslip.gateway.sharing import speed_exchange as speed_exchange_module
from wayslip.gateway.sharing import staleness
from wayslip.gateway.sharing import stream_registry
from wayslip.gateway.sharing import tunnel_service
from wayslip.gateway.sharing import version_records as version_records_module
from wayslip.gateway.sharing import view as view_module
from wayslip.http1 import server
from wayslip.http1 import stalls

_LOG = logging.getLogger(__name__)
# The balancer probes every second and removes an instance after two failures,
# 2 s after the signal at the latest; until then new connections still arrive. A
# request that is taken later than 3 s after the signal may not be broken off at
# the end of the grace time, so none is taken from well before that on.
_BALANCER_SECONDS = 2.5
# Part of the grace time reserved for aborting unfinished requests.
_ABORT_SECONDS = 0.4
_STOP_POLL_SECONDS = 0.1
# A change of the list may arrive later than the announcement that it exists.
# After this time it is considered lost and is requested again.
_LATE_CHANGE_SECONDS = 0.12
# Wait for the holder's answer to that request: two trips, and a retransmission
# on a busy link.
_ANSWER_SECONDS = 0.2
_TEXT = ((b"content-type", b"text/plain; charset=utf-8"),)


@dataclasses.dataclass(frozen=True)
class Platform:
    """What a platform adapter supplies: clients, kinds of objects, dialect."""

    store: store_module.Store
    dialect: dialect_module.Dialect
    engines: engines_module.EngineClient
    configuration: store_module.Kind[manifest.Manifest]
    configuration_name: str
    endpoints: store_module.Kind[fleet.Endpoint]
    copies: copy_client.CopyClient = copy_client.HttpCopyClient()


class Gateway:
    """One instance: serves callers, and plans placement if it has the lease."""

    def __init__(
        self, options: options_module.Options, platform: Platform
    ) -> None:
        self._options = options
        self._platform = platform
        self.metrics = metrics_module.Metrics()
        self.holder = configuration.Holder()
        self.view = view_module.EndpointView(options.data_hall)
        self._hub = hub_module.Hub(self._handle_message, self.metrics)
        self.leadership = leadership_module.Leadership(
            options,
            platform.store,
            records.LEASE,
            self._begin_term,
            self._end_term,
            self._find_pause,
            lambda: self._placement.report_soon(),
        )
        self._order_sender = order_sender_module.OrderSender(
            options, platform.store, platform.engines, self.metrics
        )
        members = members_module.Members(self.view.reading)
        self._peer_broadcast = peer_broadcast.PeerBroadcast(
            self._hub, members, self.leadership, options.peers
        )
        detached_operation = detached_operation_module.DetachedOperation(
            options.peers, self.leadership, members
        )
        self._order_sender.claims.is_detached = lambda: (
            detached_operation.is_granted
        )
        self._order_sender.find_version = lambda: self.holder.version
        self._order_sender.claims.holds_lease = lambda: self.leadership.is_valid
        allowance = options.bounds.allowance
        limiter = limits_module.Limiter(self.holder, allowance)
        accounts = quota_accounts_module.QuotaAccounts(
            self.holder, limiter, allowance
        )
        self._announcer = announcements.Announcer(
            options.peers,
            self.leadership,
            self._order_sender,
            members,
            detached_operation,
            self._hub,
            accounts,
        )
        self._planner = planner_module.Planner(
            self.holder,
            self.view,
            self.leadership,
            self._order_sender,
            members,
            self._announcer,
            accounts,
        )
        self._placement = placement_module.Placement(
            options,
            self.view,
            self._hub,
            self.leadership,
            members,
            lambda: self._endpoints.lacks_list,
            limiter,
        )
        self._quarantine = quarantine_module.Quarantine(
            platform.store,
            self.leadership,
            self._peer_broadcast,
            self.metrics,
            options.name,
            self._find_pause,
        )
        self._permit_broker = permit_broker_module.PermitBroker(
            options.name,
            self.view.notices,
            self._hub,
            self.leadership,
            self._peer_broadcast,
            lambda: self._placement.has_recent_state,
            lambda: self._placement.instances,
        )
        self._place_broker = place_broker_module.PlaceBroker(
            options.name,
            self.view,
            self._hub,
            self.leadership,
            self._peer_broadcast,
            self._permit_broker,
            self.metrics,
        )
        self._order_sender.may_call = self._permit_broker.may_call
        self._fair_shares = fair_shares_module.FairShares(
            options.name,
            self.holder,
            self.leadership,
            self._hub,
            self.metrics,
        )
        self._share_accounts = share_accounts_module.ShareAccounts(
            self.holder, self.leadership, members, self._hub
        )
        self._speed_exchange = speed_exchange_module.SpeedExchange(
            options.name,
            self.view,
            self._hub,
            self.leadership,
            self._peer_broadcast,
            lambda: self._placement.instances,
            self.metrics,
        )
        self.paths = endpoint_paths.EndpointPaths(
            options.data_hall,
            options.peers,
            self._peer_broadcast.list_peers,
            self.metrics,
        )
        self.paths.list_endpoints = self.view.list_endpoints
        self.leadership.is_impaired = lambda: self.paths.is_cut_off
        self._order_sender.on_unreachable = self.paths.note_unreachable
        self._link_watch = link_watch.LinkWatch(
            self.paths, self.leadership, self._announce_own_state
        )
        self._tunnels = tunnel_service.TunnelService(
            options.peers,
            self.view,
            self.paths,
            self._peer_broadcast.list_peers,
            self.metrics,
        )
        self._stream_registry = stream_registry.StreamRegistry(
            options.peers, self._hub, self._peer_broadcast, self.metrics
        )
        self._version_records = version_records_module.VersionRecords(
            platform.store,
            self.leadership,
            self.view.versions,
            self._find_pause,
        )
        self._requests = requests_module.Requests(
            options,
            platform.dialect,
            self.holder,
            self.view,
            self._placement,
            self.metrics,
            lambda: self._configuration_sync.status,
            limiter,
            self._quarantine,
            self._report_leaving,
            self._permit_broker,
            self._place_broker,
            self._fair_shares,
            self.paths,
            self._stream_registry,
            self._version_records,
            lambda: self._endpoints.watcher.is_current,
        )
        self._configuration_sync = configuration_sync.ConfigurationSync(
            options,
            platform.store,
            platform.configuration,
            platform.configuration_name,
            self.holder,
            platform.copies,
            self._hub,
            self.leadership,
            members,
            self._find_pause,
            self.metrics,
            self._announce_own_configuration,
        )
        self._endpoints = endpoint_follower.EndpointFollower(
            platform.store,
            platform.endpoints,
            staleness.Staleness(
                options.bounds.max_staleness,
                lambda: self.leadership.is_held,
                self._obtain_changes,
            ),
            self.view,
            self._placement.notify,
            self._requests.drop_endpoint,
            self._announcer.announce_list_changes,
            options.bounds.watch,
            self._find_pause,
            self.metrics,
            self.holder.names_service,
        )
        self._admission = admission.Admission(options.descriptors, self.metrics)
        self._callers = server.Server(
            addresses.split_address(options.callers),
            self._requests.serve,
            lambda: self.holder.limits,
            self._admission.admit,
            intake.Intake(intake.find_room(options.memory_mb)),
            stalls.find_limit(options.memory_mb),
        )
        self._readiness = server.Server(
            addresses.split_address(options.readiness),
            self._answer_readiness,
            manifest.Limits,
        )
        self._operators = server.Server(
            (options.ip, options.metrics_port),
            pages.Pages(
                self.metrics,
                self.dump,
                self._configuration_sync.distribution,
                self._quarantine,
            ).answer,
            manifest.Limits,
        )
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def _find_pause(self, usual: float) -> float:
        """Returns the pause before an attempt that all instances make."""
        return retry_pacing.find_pause(
            usual, self._placement.instances, self._placement.has_recent_contact
        )

    def _report_leaving(self, endpoint: fleet.Endpoint) -> None:
        """Records and broadcasts that an endpoint stated that it is leaving.

        The list may show this seconds later, and not at all while the store is
        unavailable. The other instances and the planner must know it at once.
        """
        if self.view.note_leaving(endpoint.incarnation, self._options.name):
            message = facts.Leaving(endpoint.name, endpoint.born)
            self._peer_broadcast.broadcast(message)
            self._placement.notify()

    async def _obtain_changes(self) -> None:
        """Waits for late changes of the list, then requests them."""
        await asyncio.sleep(_LATE_CHANGE_SECONDS)
        if not self._endpoints.watcher.staleness.is_behind:
            return
        self._ask_for_changes()
        await asyncio.sleep(_ANSWER_SECONDS)

    def _ask_for_changes(self) -> None:
        holder = self.leadership.holder_address
        if holder is None:
            return
        revision = self._endpoints.watcher.revision or 0
        address = addresses.split_address(holder)
        self._hub.send(facts.Missing(revision), address)

    # Running

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then shuts down."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        # All settings that may change at run time come from the store.
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        await self._hub.start(addresses.split_address(self._options.peers))
        await self._tunnels.start()
        await self._readiness.start()
        await self._operators.start()
        await self._callers.start()
        for work in (
            self._configuration_sync.watcher.run(),
            self._endpoints.watcher.run(),
            self.leadership.run(),
            self._placement.run(),
            self._placement.watch_holder(),
            self._planner.run(),
            self._announcer.run(self._find_store_progress),
            self._configuration_sync.confirmations.run(),
            self._quarantine.run(),
            self._fair_shares.run(lambda: self._placement.instances),
            self._share_accounts.run(),
            self._link_watch.run(),
            self._requests.stream_versions.run(),
            self._version_records.run(),
            lag.observe(self.metrics, self._admission.note_lag),
        ):
            self._start_task(work)
        logs.event(
            _LOG,
            "started",
            instance=self._options.name,
            callers=self._options.callers,
        )
        await self._stopping.wait()
        await self._stop()

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(self._check_task)
        self._tasks.append(task)

    def _check_task(self, task: asyncio.Task[None]) -> None:
        """Stops the process if a task ended that must run until the end.

        Otherwise the process would continue without that task; the platform
        restarts it.
        """
        if task.cancelled() or self._stopping.is_set():
            return
        _LOG.error("loop_ended", exc_info=task.exception())
        self._stopping.set()

    def _note_reload(self) -> None:
        logs.event(_LOG, "reload_noted", instance=self._options.name)

    async def _stop(self) -> None:
        began = clock.now()
        limit = began + self._options.bounds.grace - _ABORT_SECONDS
        self._callers.is_draining = True
        self._requests.begin_drain(limit)
        self._tunnels.is_draining = True
        logs.event(_LOG, "stopping", active=self._callers.active)
        self._placement.announce_leaving()
        if self.leadership.is_held:
            await self.leadership.release()
            # Announces that the lease is released, so that another instance
            # takes it before it would detect this itself.
            self._announce_own_state()
        while clock.now() < limit:
            if clock.now() - began >= _BALANCER_SECONDS:
                self._callers.stop_listening()
                self._callers.close_idle()
                if not self._callers.active and not len(self._tunnels):
                    break
            await asyncio.sleep(_STOP_POLL_SECONDS)
        logs.event(
            _LOG,
            "stopped",
            cut=self._callers.abort_all(),
            tunnels=len(self._tunnels),
            seconds=f"{clock.now() - began:.1f}",
        )
        self._requests.close()
        self._tunnels.close()
        self.paths.close()
        self._quarantine.close()
        self._stream_registry.close()
        self._hub.close()
        for task in self._tasks:
            task.cancel()

    # Configuration, lease and peers

    def _announce_own_configuration(self) -> None:
        """Announces a newly read configuration at once if the lease is held.

        With the next periodic state it would be known up to 0.25 s later.
        """
        if self.leadership.is_held:
            self._announce_own_state()

    def _announce_own_state(self) -> None:
        self._announcer.announce_state(self._find_store_progress())

    def _begin_term(self) -> None:
        self._configuration_sync.watcher.staleness.wake()
        self._endpoints.watcher.staleness.wake()
        self._planner.begin()
        self._permit_broker.begin_term()
        self._place_broker.begin_term()
        self._quarantine.begin_term()
        self._share_accounts.begin()
        # Announces at once where to report. The previous holder must receive
        # this too, since it may be disconnected from the store.
        self._announce_own_state()

    def _end_term(self) -> None:
        self._planner.end()

    def _find_store_progress(self) -> announcements.StoreProgress:
        return announcements.StoreProgress(
            self._configuration_sync.progress,
            facts.WatchProgress(
                self._endpoints.changed_at, self._endpoints.watcher.age
            ),
        )

    def _handle_message(
        self, message: facts.Message, source: hub_module.Address
    ) -> None:
        if isinstance(message, facts.Report):
            self._place_broker.note_report(message)
        if isinstance(message, facts.State):
            self._placement.apply_state(message)
            self._apply_store_progress(message)
        elif isinstance(message, facts.PlacementUpdate):
            self._placement.apply_placement_update(message)
        elif isinstance(message, facts.Changes):
            # Changes from an earlier holder may be late and incomplete.
            if message.term >= self.leadership.seen_term:
                self._endpoints.apply_update(message)
        elif isinstance(message, facts.Missing):
            self._announcer.repeat_changes(message, source)
        elif isinstance(message, facts.Confirm):
            self._configuration_sync.confirmations.answer(message, source)
        elif isinstance(message, facts.Confirmed):
            self._configuration_sync.confirmations.apply_answer(message)
        elif isinstance(message, facts.Leaving):
            start = fleet.Incarnation(message.endpoint, message.born)
            if self.view.note_leaving(start, source[0]):
                self._peer_broadcast.forward_as_holder(message)
        elif isinstance(message, facts.Limited):
            self._permit_broker.apply_update(message, source[0])
        elif isinstance(message, facts.PermitRequest):
            self._permit_broker.answer(message, source)
        elif isinstance(message, facts.PermitResponse):
            self._permit_broker.apply_response(message)
        elif isinstance(message, facts.PermitReturn):
            self._permit_broker.apply_return(message)
        elif isinstance(message, facts.Brittle):
            self._place_broker.apply_update(message, source[0])
        elif isinstance(message, facts.PlaceRequest):
            self._place_broker.answer(message, source)
        elif isinstance(message, facts.PlaceReturn):
            self._place_broker.apply_return(message)
        elif isinstance(message, facts.Concurrent):
            self._place_broker.apply_concurrent(message)
        elif isinstance(message, facts.StreamOrigin):
            self._stream_registry.keep(message, source)
        elif isinstance(message, facts.StreamOriginKept):
            self._stream_registry.apply_acknowledgement(message, source)
        elif isinstance(message, facts.StreamQuestion):
            self._stream_registry.answer(message)
        elif isinstance(message, facts.StreamAnswer):
            self._stream_registry.apply_answer(message)
        elif isinstance(message, facts.ShareReport):
            if self.leadership.is_held:
                self._share_accounts.record_report(message)
        elif isinstance(message, facts.ShareState):
            self._fair_shares.apply_state(message)
        elif isinstance(message, facts.SpeedReport):
            self._speed_exchange.take_report(message)
        elif isinstance(message, facts.SpeedState):
            self._speed_exchange.apply_state(message)
        elif isinstance(message, facts.Suspects):
            self._quarantine.apply(message)
        elif isinstance(message, facts.Report) and message.lacks_list:
            self._announcer.send_list(self._endpoints.list_all(), source)
        self._planner.process(message, source)

    def _apply_store_progress(self, state: facts.State) -> None:
        if state.term < self.leadership.seen_term:
            return
        self._configuration_sync.apply_update(state.configuration)
        progress = state.endpoints
        self._endpoints.watcher.staleness.note_announcement(
            progress.age, self._endpoints.has_applied(progress.revision)
        )

    # Answers to the balancer and to operators

    def is_ready(self) -> bool:
        """Whether the balancer should send clients to this instance."""
        return (
            not self._stopping.is_set()
            and self.holder.manifest is not None
            and self._endpoints.watcher.is_synced
        )

    async def _answer_readiness(self, exchange: server.Exchange) -> None:
        status = 200 if self.is_ready() else 503
        exchange.answer(status, _TEXT, b"")

    def dump(self) -> dict[str, object]:
        """Returns the state of this process for operators."""
        return {
            "instance": self._options.name,
            "ready": self.is_ready(),
            "configuration": self.holder.version,
            "configuration_told": self._configuration_sync.distribution.newest,
            "lease": self.leadership.observed,
            "holds_lease": self.leadership.is_valid,
            "endpoints": self.view.dump(),
            "active": self._callers.active,
            "paths": self.paths.dump(),
            "tunnels": len(self._tunnels),
            "suspects": self._quarantine.dump(),
            "shares": self._fair_shares.dump(),
            "streams": self._stream_registry.dump(),
            "engines": [
                b.describe()
                for b in self._order_sender.tracked_engines.values()
            ],
        }
