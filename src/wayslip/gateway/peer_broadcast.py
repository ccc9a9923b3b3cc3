"""Whom an instance tells what concerns everybody."""

from wayslip.decisions import fanout
from wayslip.gateway import facts
from wayslip.gateway import hub as hub_module
from wayslip.gateway import leadership as leadership_module
from wayslip.gateway import members as members_module


class PeerBroadcast:
    """All instances as far as this one knows them."""

    def __init__(
        self,
        hub: hub_module.Hub,
        members: members_module.Members,
        leadership: leadership_module.Leadership,
    ) -> None:
        self._hub = hub
        self._members = members
        self._leadership = leadership

    def list_peers(self) -> list[fanout.Peer]:
        """Returns whom to tell: all, and the holder if it is not among them.

        Who has just started knows no other yet, and the holder tells the rest.
        """
        peers = self._members.peers()
        holder = self._leadership.holder_address
        if holder is None or any(p.address == holder for p in peers):
            return peers
        return [*peers, fanout.Peer(holder, "")]

    def broadcast(self, message: facts.Message) -> None:
        """Tells everybody; a datagram may be lost on any way."""
        self._hub.broadcast(message, self.list_peers())

    def forward_as_holder(self, message: facts.Message) -> None:
        """Tells everybody what was news to us, if we hold the lease.

        Who told us may have known nobody else.
        """
        if self._leadership.is_held:
            self.broadcast(message)
