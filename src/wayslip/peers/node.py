"""A daemon's peer node: membership, facts and configuration by gossip.

One thread receives datagrams and runs the membership; one lock guards the
state that other threads use. Pulls of the configuration are blocking calls and
run in a separate thread.
"""

import dataclasses
import logging
import queue
import random
import socket
import threading
import time
from typing import TypeVar

from wayslip import addresses
from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip import settings as settings_module
from wayslip.decisions import facts as facts_module
from wayslip.decisions import membership as membership_module
from wayslip.peers import calls
from wayslip.peers import frames
from wayslip.peers import holder as holder_module
from wayslip.peers import messages

_LOG = logging.getLogger(__name__)
_MAX_DATAGRAM_BYTES = 8_192
_FACTS_PER_DATAGRAM = 8
_TICKS_PER_PERIOD = 5
_JOIN_SECONDS = 5.0
_CALL_SECONDS = 2.0
# A new fact is added to this many outgoing datagrams.
_SENDS_PER_FACT = 6

A = TypeVar("A")


@dataclasses.dataclass(frozen=True)
class Identity:
    """The identity of a daemon among its peers."""

    role: membership_module.Role
    instance: settings_module.Instance
    address: str

    @property
    def name(self) -> str:
        """The member name, "ROLE/INSTANCE"."""
        return f"{self.role}/{self.instance.name}"


class Node:
    """Connects a daemon with its peers."""

    def __init__(
        self,
        identity: Identity,
        settings: settings_module.Settings,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.identity = identity
        self.holder = holder_module.ConfigurationHolder()
        self._settings = settings
        self._metrics = metrics
        self._key = settings.security.peer_key.encode()
        self._lock = threading.RLock()
        self._facts = facts_module.FactTable()
        self._unsent_facts: dict[tuple, tuple[facts_module.Fact, int]] = {}
        self._listeners: list = []
        self._pulls: queue.Queue[str] = queue.Queue(maxsize=8)
        self._stopping = threading.Event()
        self._joined_at = 0.0
        seed = time.time_ns()
        self._rng = random.Random(seed)
        me = membership_module.Member(
            identity.name,
            identity.role,
            identity.address,
            identity.instance.data_hall,
            seed // 1_000_000,
            seed // 1_000_000,
        )
        self._membership = membership_module.Membership(
            me,
            settings.peers.seeds,
            settings.peers.period,
            settings.peers.suspicion,
            self._rng,
        )
        self.process = me.process
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(addresses.split_address(identity.address))
        self._socket.settimeout(settings.peers.period / _TICKS_PER_PERIOD)
        self.calls = calls.Server(
            identity.address, self._key, settings.limits, metrics
        )
        self._client = calls.Client(self._key, settings.limits)
        self.calls.handle(messages.Pull, self._answer_pull)
        self.calls.handle(messages.Join, self._answer_join)
        self._threads = [
            threading.Thread(target=self._gossip, name="gossip", daemon=True),
            threading.Thread(target=self._pull, name="pull", daemon=True),
        ]

    # Life cycle

    def start(self) -> None:
        """Starts to communicate with peers."""
        self.calls.start()
        for thread in self._threads:
            thread.start()

    def leave(self) -> None:
        """Notifies peers that this daemon is stopping."""
        with self._lock:
            self._membership.leave()
            outgoing = self._push_targets(self._settings.peers.fanout)
        self._send_all(outgoing)

    def stop(self) -> None:
        """Stops the threads and closes the sockets."""
        self._stopping.set()
        self._threads[0].join(timeout=2.0)
        self.calls.stop()
        self._client.close()
        self._socket.close()

    # Looking up

    def live(
        self, role: membership_module.Role | None = None
    ) -> tuple[membership_module.Member, ...]:
        """Returns alive and suspect members, of one role or of all."""
        with self._lock:
            return self._membership.live(role)

    def live_names(self, role: membership_module.Role) -> list[str]:
        """Returns the names of a role's alive and suspect members."""
        return [m.name for m in self.live(role)]

    def members(self) -> tuple[membership_module.Member, ...]:
        """Returns all known members, including dead ones."""
        with self._lock:
            return self._membership.members

    def find(self, name: str) -> membership_module.Member | None:
        """Returns a member by name."""
        with self._lock:
            return self._membership.get(name)

    def facts(self, topic: facts_module.Topic) -> tuple[facts_module.Fact, ...]:
        """Returns the facts of a topic."""
        with self._lock:
            return self._facts.about(topic)

    def arrivals(
        self, topic: facts_module.Topic
    ) -> tuple[tuple[facts_module.Fact, float], ...]:
        """Returns a topic's facts with arrival times (by `clock.now`)."""
        with self._lock:
            return self._facts.arrivals(topic)

    # Publishing and calling

    def subscribe(self, listener) -> None:  # type: ignore[no-untyped-def]
        """Registers a function to call with facts that are new or newer."""
        self._listeners.append(listener)

    def publish(self, fact: facts_module.Fact) -> None:
        """Sends a fact to a few peers at once, which forward it."""
        self._apply_facts((fact,))

    def call(
        self,
        member: membership_module.Member,
        message: object,
        kind: type[A],
        timeout: float = _CALL_SECONDS,
    ) -> A:
        """Calls a member; see `calls.Client.call`."""
        return self._client.call(member.address, message, kind, timeout)

    # Gossip

    def _gossip(self) -> None:
        while not self._stopping.is_set():
            try:
                self._receive_one()
                self._tick()
            except OSError:
                if not self._stopping.is_set():
                    _LOG.exception("gossip_failed")
                    time.sleep(self._settings.peers.period)

    def _tick(self) -> None:
        now = clock.now()
        with self._lock:
            outgoing = self._membership.tick(now)
            self._facts.expire(now)
        self._send_all(outgoing)
        if now - self._joined_at > _JOIN_SECONDS and not self._has_peers():
            self._joined_at = now
            self._request_pull("join")

    def _has_peers(self) -> bool:
        return len(self.live()) > 1

    def _receive_one(self) -> None:
        try:
            data, source = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
        except TimeoutError:
            return
        try:
            gossip = frames.open_datagram(self._key, data, time.time())
        except errors.FrameError as e:
            self._metrics.count("peer_frames_refused")
            logs.event(_LOG, "datagram_refused", logging.DEBUG, reason=e.reason)
            return
        if not isinstance(gossip, messages.Gossip):
            return
        self._metrics.count("gossip_bytes", len(data), direction="in")
        now = clock.now()
        address = f"{source[0]}:{source[1]}"
        with self._lock:
            outgoing = self._membership.receive(gossip.probe, address, now)
            sender = self._membership.get(gossip.probe.sender)
        self._send_all(outgoing)
        self._apply_facts(gossip.facts)
        if gossip.generation > self.holder.generation and sender:
            self._request_pull(sender.address)

    def _apply_facts(self, new: tuple[facts_module.Fact, ...]) -> None:
        if not new:
            return
        with self._lock:
            changed = self._facts.merge(new, clock.now())
            for fact in changed:
                self._unsent_facts[fact.id] = (fact, _SENDS_PER_FACT)
            outgoing = (
                self._push_targets(self._settings.peers.fanout)
                if changed
                else []
            )
        self._send_all(outgoing)
        for listener in self._listeners:
            if changed:
                listener(changed)

    def push_generation(self) -> None:
        """Announces the current generation to a few peers at once."""
        with self._lock:
            outgoing = self._push_targets(self._settings.peers.fanout)
        self._send_all(outgoing)

    def _push_targets(self, count: int) -> list[membership_module.Outgoing]:
        message = membership_module.Message(
            membership_module.Probe.ACK,
            0,
            self.identity.name,
            (self._membership.me,),
        )
        return [
            membership_module.Outgoing(m.address, message)
            for m in self._membership.pick(count)
        ]

    def _take_unsent_facts(self) -> tuple[facts_module.Fact, ...]:
        chosen = list(self._unsent_facts.items())[:_FACTS_PER_DATAGRAM]
        for fact_id, (fact, sends_left) in chosen:
            del self._unsent_facts[fact_id]
            if sends_left > 1:
                self._unsent_facts[fact_id] = (fact, sends_left - 1)
        return tuple(fact for _, (fact, _) in chosen)

    def _send_all(self, outgoing: list[membership_module.Outgoing]) -> None:
        for out in outgoing:
            with self._lock:
                unsent = self._take_unsent_facts()
            gossip = messages.Gossip(
                out.message, unsent, self.holder.generation
            )
            data = frames.seal_datagram(self._key, gossip, time.time())
            self._metrics.count("gossip_bytes", len(data), direction="out")
            try:
                target = addresses.split_address(out.address)
                self._socket.sendto(data, target)
            except OSError as e:
                logs.event(_LOG, "datagram_lost", logging.DEBUG, reason=str(e))

    # Configuration and joining

    def _request_pull(self, address: str) -> None:
        try:
            self._pulls.put_nowait(address)
        except queue.Full:
            # The next datagram requests the pull again.
            pass

    def _pull(self) -> None:
        while not self._stopping.is_set():
            address = self._pulls.get()
            try:
                if address == "join":
                    self._join()
                else:
                    self._pull_from(address)
            except errors.WayslipError as e:
                logs.event(
                    _LOG,
                    "pull_failed",
                    logging.DEBUG,
                    address=address,
                    reason=e.reason,
                )
            except Exception:
                _LOG.exception("pull_failed")

    def _pull_from(self, address: str) -> None:
        request = messages.Pull(self.holder.generation)
        answer = self._client.call(
            address, request, messages.Pulled, _CALL_SECONDS
        )
        if self.holder.merge(answer.delta, address):
            self.push_generation()

    def _join(self) -> None:
        for seed in self._settings.peers.seeds:
            if seed == self.identity.address:
                continue
            try:
                self._join_through(seed)
                return
            except errors.WayslipError:
                continue

    def _join_through(self, seed: str) -> None:
        with self._lock:
            request = messages.Join(self._membership.members, ())
        answer = self._client.call(
            seed, request, messages.Joined, _CALL_SECONDS
        )
        now = clock.now()
        with self._lock:
            for member in answer.members:
                self._membership.merge(member, now)
            self._facts.merge(answer.facts, now)
        self.holder.merge(answer.delta, seed)

    def _answer_pull(self, message: object) -> object:
        assert isinstance(message, messages.Pull)
        return messages.Pulled(self.holder.configuration.delta(message.since))

    def _answer_join(self, message: object) -> object:
        assert isinstance(message, messages.Join)
        now = clock.now()
        with self._lock:
            for member in message.members:
                self._membership.merge(member, now)
            members = self._membership.members
            known = tuple(
                f for t in facts_module.Topic for f in self._facts.about(t)
            )
        delta = self.holder.configuration.delta(0)
        return messages.Joined(members, known, delta)
