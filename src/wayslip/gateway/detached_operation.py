"""The holder goes on without the store; see `decisions.detachment`."""

import logging

from wayslip import clock
from wayslip import logs
from wayslip.decisions import detachment
from wayslip.decisions import fanout
from wayslip.gateway import leadership as leadership_module
from wayslip.gateway import members as members_module

_LOG = logging.getLogger(__name__)


class DetachedOperation:
    """Whether this instance may order engines while the store is away."""

    def __init__(
        self,
        own: str,
        leadership: leadership_module.Leadership,
        members: members_module.Members,
    ) -> None:
        """Initializes the state.

        Args:
            own: Where this instance hears its peers, "IP:PORT".
            leadership: Its part in the lease.
            members: What it hears from the others while it holds the lease.
        """
        self._own = own
        self._leadership = leadership
        self._members = members
        self._state = detachment.NONE

    @property
    def is_proposed(self) -> bool:
        """Whether the others are told that we go on without the store."""
        return self._judge().proposed_at is not None

    @property
    def is_granted(self) -> bool:
        """Whether we may order engines without a write to the store."""
        return self._judge().is_granted

    def list_missing(self) -> list[fanout.Peer]:
        """Returns instances to look for, because they must agree."""
        if not self._leadership.is_renewal_overdue:
            return []
        missing = self._members.list_missing()
        return [p for p in missing if p.address != self._own]

    def _judge(self) -> detachment.Detachment:
        """Looks again; what was granted a moment ago may be over."""
        before = self._state
        if self._leadership.is_valid:
            self._members.forget_missing()
        if self._leadership.is_held and self._leadership.is_renewal_overdue:
            term = self._leadership.seen_term
            self._state = before.judge(
                self._members.list_statuses(term, self._own),
                bool(self.list_missing()),
                # At the resolution in which words in answer are told.
                detachment.read_stamp(detachment.make_stamp(clock.now())),
            )
        else:
            self._state = detachment.NONE
        if self._state.is_granted is not before.is_granted:
            self._log_change()
        return self._state

    def _log_change(self) -> None:
        term = self._leadership.seen_term
        words = self._members.list_statuses(term, self._own)
        oldest = min((w.echoed_at for w in words), default=clock.now())
        logs.event(
            _LOG,
            "detachment_changed",
            granted=self._state.is_granted,
            held=self._leadership.is_held,
            doubtful=self._leadership.is_renewal_overdue,
            instances=len(words),
            oldest=f"{clock.now() - oldest:.2f}",
            cut_off=sum(w.cut_off for w in words),
            missing=",".join(p.address for p in self.list_missing()),
        )
