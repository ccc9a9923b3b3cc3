"""Detached operation of the lease holder; see `decisions.detachment`."""

import logging

from wayslip import clock
from wayslip import logs
from wayslip.decisions import detachment
from wayslip.decisions import fanout
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import members as members_module

_LOG = logging.getLogger(__name__)


class DetachedOperation:
    """Decides whether this instance may order engines without the store."""

    def __init__(
        self,
        own_address: str,
        leadership: leadership_module.Leadership,
        members: members_module.Members,
    ) -> None:
        """Initializes the state.

        Args:
            own_address: This instance's address for peers, "IP:PORT".
            leadership: The lease.
            members: What the other instances report while it holds the lease.
        """
        self._own_address = own_address
        self._leadership = leadership
        self._members = members
        self._state = detachment.NONE

    @property
    def is_proposed(self) -> bool:
        """Whether detached operation is announced to the other instances."""
        return self._judge().proposed_at is not None

    @property
    def is_granted(self) -> bool:
        """Whether engines may be ordered without a write to the store."""
        return self._judge().is_granted

    def list_missing(self) -> list[fanout.Peer]:
        """Returns unresponsive instances that must agree first."""
        if not self._leadership.is_renewal_overdue:
            return []
        missing = self._members.list_missing()
        return [p for p in missing if p.address != self._own_address]

    def _judge(self) -> detachment.Detachment:
        """Updates and returns the state; an earlier grant may have ended."""
        before = self._state
        if self._leadership.is_valid:
            self._members.forget_missing()
        if self._leadership.is_held and self._leadership.is_renewal_overdue:
            term = self._leadership.seen_term
            self._state = before.judge(
                self._members.list_statuses(term, self._own_address),
                bool(self.list_missing()),
                # At the resolution of the stamps in reports.
                detachment.read_stamp(detachment.make_stamp(clock.now())),
                self._members.is_deserted(self._own_address),
            )
        else:
            self._state = detachment.NONE
        if self._state.is_granted is not before.is_granted:
            self._log_change()
        return self._state

    def _log_change(self) -> None:
        term = self._leadership.seen_term
        statuses = self._members.list_statuses(term, self._own_address)
        oldest = min((w.echoed_at for w in statuses), default=clock.now())
        logs.event(
            _LOG,
            "detachment_changed",
            granted=self._state.is_granted,
            held=self._leadership.is_held,
            doubtful=self._leadership.is_renewal_overdue,
            instances=len(statuses),
            oldest=f"{clock.now() - oldest:.2f}",
            cut_off=sum(w.is_disconnected for w in statuses),
            missing=",".join(p.address for p in self.list_missing()),
            deserted=self._members.is_deserted(self._own_address),
        )
