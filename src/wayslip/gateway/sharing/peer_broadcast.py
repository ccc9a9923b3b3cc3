"""Broadcasts to all instances that are known."""

from wayslip.decisions import fanout
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import members as members_module


class PeerBroadcast:
    """Sends messages to all instances that this one knows."""

    def __init__(
        self,
        hub: hub_module.Hub,
        members: members_module.Members,
        leadership: leadership_module.Leadership,
        address: str,
    ) -> None:
        """Initializes without a message sent.

        Args:
            hub: Sends and receives datagrams.
            members: The instances that reported or were announced.
            leadership: The lease.
            address: Address of this instance for its peers, "IP:PORT".
        """
        self._hub = hub
        self._members = members
        self._leadership = leadership
        self._address = address

    def list_peers(self) -> list[fanout.Peer]:
        """Returns all known instances, and the lease holder if not among them.

        An instance that has just started knows no other instance yet; the
        holder then forwards its message to the rest.
        """
        peers = self._members.peers()
        holder = self._leadership.holder_address
        if holder is None or any(p.address == holder for p in peers):
            return peers
        return [*peers, fanout.Peer(holder, "")]

    @property
    def is_isolated(self) -> bool:
        """Whether no other instance is known to receive or send anything.

        A holder that only the stored lease names may have ended since. The
        holder itself is not isolated: the others report to it.
        """
        return not self._leadership.is_held and not self.has_peers

    @property
    def awaits_first_reports(self) -> bool:
        """Whether this instance holds the lease and others may not know it.

        If nobody has reported to it afterwards, it is the only instance.
        """
        return (
            self._leadership.is_held
            and self._members.awaits_first_reports
            and not self.has_peers
        )

    @property
    def has_peers(self) -> bool:
        """Whether another instance is known."""
        return any(p.address != self._address for p in self._members.peers())

    def broadcast(self, message: facts.Message) -> None:
        """Sends a message to all known instances; any copy may be lost."""
        self._hub.broadcast(message, self.list_peers())

    def forward_as_holder(self, message: facts.Message) -> None:
        """Forwards a new message to all if this instance holds the lease.

        Its sender may have known no other instance.
        """
        if self._leadership.is_held:
            self.broadcast(message)
