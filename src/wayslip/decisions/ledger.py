"""The memory ledger of one engine.

Every item that may be in an engine's memory is charged here first, by a
conditional update of the engine's ledger object, and stays charged until it is
known to be absent. Each send of an order is an attempt; it is written into the
ledger before the order is sent, and each attempt is sent at most once.

An engine that checks fences settles old attempts itself: once it has seen
fence N in its current boot, no attempt with a fence up to N can take effect.
At an engine that does not, an attempt is settled only by its own sender, or
once the sender has been gone for longer than an order can be in transit. Until
then its charge stays and no opposite order for the same item may be written,
so a sender that was paused between its last check and its send does no harm.

Sizes are bytes of accelerator memory.
"""

import dataclasses
import enum

from wayslip import errors
from wayslip import refusals


class Action(enum.StrEnum):
    """The operation that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"
    FENCE = "fence"


class Phase(enum.StrEnum):
    """What is known about a charged item."""

    RESERVED = "reserved"
    LOADING = "loading"
    RESIDENT = "resident"


class Outcome(enum.StrEnum):
    """An engine's answer to an order."""

    APPLIED = "applied"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class Charge:
    """Memory that an item occupies, or may occupy.

    Attributes:
        fence: The fence of the last order to load it.
        ordered_boot: The engine's boot that this order was for.
        boot: The engine's boot in which the item was last reported, 0 if it
            was never reported.
    """

    item: str
    size: int
    phase: Phase
    fence: int = 0
    ordered_boot: int = 0
    boot: int = 0


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One send of an order whose effect is not yet known.

    Attributes:
        sender: The process that may send it, see `membership.Member`.
        given_up: When the sender stopped waiting for the answer, or was found
            to have ended, in seconds of the wall clock; 0 before that.
    """

    id: str
    action: Action
    item: str
    fence: int
    boot: int
    sender: str
    given_up: float = 0.0


@dataclasses.dataclass(frozen=True)
class Residency:
    """The items that an engine reports.

    Attributes:
        boot: Start time of the engine's process, milliseconds; it increases
            with each restart.
        fence: The highest fence seen in this boot, 0 if it checks none.
        loading: Items that occupy memory but can not serve yet.
        resident: Items that can serve.
    """

    boot: int
    fence: int
    loading: frozenset[str]
    resident: frozenset[str]

    @property
    def held(self) -> frozenset[str]:
        """All items that occupy memory."""
        return self.loading | self.resident


@dataclasses.dataclass(frozen=True)
class Ledger:
    """The charges and unsettled attempts of one engine.

    Attributes:
        capacity: Bytes for weights and adapters.
        checks_fence: Whether the engine refuses orders with an old fence.
        boot: The newest observed boot.
        fence: The highest fence that was issued.
        generation: The newest configuration generation that an order followed.
    """

    engine: str
    capacity: int
    checks_fence: bool
    boot: int = 0
    fence: int = 0
    charges: tuple[Charge, ...] = ()
    attempts: tuple[Attempt, ...] = ()
    generation: int = 0

    # Looking up

    @property
    def charged(self) -> int:
        """Bytes that are or may be occupied."""
        return sum(c.size for c in self.charges)

    @property
    def free(self) -> int:
        """Bytes available to a new item."""
        return self.capacity - self.charged

    def get(self, item: str) -> Charge | None:
        """Returns the charge of an item."""
        for charge in self.charges:
            if charge.item == item:
                return charge
        return None

    def find_attempt(self, attempt_id: str) -> Attempt | None:
        """Returns an unsettled attempt."""
        for attempt in self.attempts:
            if attempt.id == attempt_id:
                return attempt
        return None

    # Recording an order before it is sent

    def follow(self, generation: int) -> "Ledger | refusals.Refusal":
        """Returns the ledger after orders follow a configuration.

        A control process that has not received a newer configuration must not
        evict items that the newer one places.
        """
        if generation < self.generation:
            return refusals.Refusal(
                refusals.Reason.WORLD_CHANGED,
                f"{self.engine} follows generation {self.generation},"
                f" this control process has {generation}; wait until it has"
                " caught up",
                retry_after=1.0,
            )
        return dataclasses.replace(self, generation=generation)

    def begin_load(
        self, item: str, size: int, attempt_id: str, sender: str
    ) -> "Ledger | refusals.Refusal":
        """Returns the ledger with an item reserved and an attempt."""
        if not self._may_order(item, Action.LOAD):
            return _pending(item)
        charge = self.get(item)
        if charge is None and size > self.free:
            return refusals.Refusal(
                refusals.Reason.NO_MEMORY,
                f"{item} needs {size} bytes, {self.engine} has {self.free}"
                " free; unload something first",
            )
        fence = self.fence + 1
        if charge is None:
            charge = Charge(item, size, Phase.RESERVED)
        charge = dataclasses.replace(
            charge, fence=fence, ordered_boot=self.boot
        )
        attempt = Attempt(
            attempt_id, Action.LOAD, item, fence, self.boot, sender
        )
        return self._with(charge)._begin(attempt)

    def begin_unload(
        self, item: str, attempt_id: str, sender: str
    ) -> "Ledger | refusals.Refusal":
        """Returns the ledger with an attempt to unload an item."""
        if not self._may_order(item, Action.UNLOAD):
            return _pending(item)
        if self.get(item) is None:
            return refusals.Refusal(
                refusals.Reason.WRONG_STATE, f"{self.engine} holds no {item}"
            )
        attempt = Attempt(
            attempt_id, Action.UNLOAD, item, self.fence + 1, self.boot, sender
        )
        return self._begin(attempt)

    def begin_fence(self, attempt_id: str, sender: str) -> "Ledger":
        """Returns the ledger with an attempt that only raises the fence."""
        attempt = Attempt(
            attempt_id, Action.FENCE, "", self.fence + 1, self.boot, sender
        )
        return self._begin(attempt)

    def _may_order(self, item: str, action: Action) -> bool:
        """Whether a new order can not conflict with an unsettled one.

        A newer fence settles an earlier order of the same kind. Without
        fences, the answers to two sends may arrive in the wrong order, so the
        item has to wait.
        """
        if self.checks_fence and not self.boot:
            return False
        unsettled = [a for a in self.attempts if a.item == item]
        if not self.checks_fence:
            return not unsettled
        return all(a.action is action for a in unsettled)

    def _begin(self, attempt: Attempt) -> "Ledger":
        return self._checked(
            dataclasses.replace(
                self,
                fence=attempt.fence,
                attempts=(*self.attempts, attempt),
            )
        )

    # Settling attempts

    def settle(
        self, attempt_id: str, outcome: Outcome, residency: Residency
    ) -> "Ledger":
        """Returns the ledger after the sender received an engine's answer.

        Args:
            attempt_id: The attempt; one that is already settled is ignored.
            outcome: The engine's answer.
            residency: The items that the engine held right after the order.
        """
        attempt = self.find_attempt(attempt_id)
        if attempt is None:
            return self
        rest = tuple(a for a in self.attempts if a.id != attempt_id)
        ledger = dataclasses.replace(self, attempts=rest)
        ledger = ledger._newer_boot(residency)
        return self._checked(ledger._settle_item(attempt.item, residency))

    def withdraw(self, attempt_id: str) -> "Ledger":
        """Returns the ledger without an attempt that was never sent.

        Only the sender may call this, and only before it sends.
        """
        attempt = self.find_attempt(attempt_id)
        if attempt is None:
            return self
        rest = tuple(a for a in self.attempts if a.id != attempt_id)
        ledger = dataclasses.replace(self, attempts=rest)
        charge = ledger.get(attempt.item)
        others = any(a.item == attempt.item for a in rest)
        if charge is None or charge.phase is not Phase.RESERVED or others:
            return ledger
        return ledger._without(attempt.item)

    def give_up(self, attempt_id: str, now: float) -> "Ledger":
        """Returns the ledger after a sender stopped waiting for an answer."""
        attempts = tuple(
            dataclasses.replace(a, given_up=now)
            if a.id == attempt_id and not a.given_up
            else a
            for a in self.attempts
        )
        return dataclasses.replace(self, attempts=attempts)

    def give_up_sender(self, sender: str, now: float) -> "Ledger":
        """Returns the ledger after a sender's process was found ended."""
        ledger = self
        for attempt in self.attempts:
            if attempt.sender == sender:
                ledger = ledger.give_up(attempt.id, now)
        return ledger

    def observe(
        self, residency: Residency, now: float, quarantine: float
    ) -> "Ledger":
        """Returns the ledger after a report, which may be outdated.

        Args:
            residency: The items that the engine held when it reported.
            now: Seconds of the wall clock.
            quarantine: Seconds after which an order whose sender gave up has
                either arrived and appears in every report, or never arrives.
        """
        if residency.boot < self.boot:
            return self
        ledger = self._newer_boot(residency)
        settled = [
            a
            for a in ledger.attempts
            if ledger._is_settled(a, residency, now, quarantine)
        ]
        rest = tuple(a for a in ledger.attempts if a not in settled)
        ledger = dataclasses.replace(ledger, attempts=rest)
        for attempt in settled:
            ledger = ledger._settle_item(attempt.item, residency)
        return self._checked(ledger._confirm(residency))

    def _is_settled(
        self,
        attempt: Attempt,
        residency: Residency,
        now: float,
        quarantine: float,
    ) -> bool:
        if self.checks_fence:
            # An order names its target boot, so a newer boot refuses it.
            return (
                attempt.boot < residency.boot
                or attempt.fence <= residency.fence
            )
        return bool(attempt.given_up) and now - attempt.given_up > quarantine

    def _newer_boot(self, residency: Residency) -> "Ledger":
        return dataclasses.replace(self, boot=max(self.boot, residency.boot))

    def _settle_item(self, item: str, residency: Residency) -> "Ledger":
        charge = self.get(item)
        if charge is None or residency.boot < self.boot:
            return self
        if item in residency.held:
            return self._with(_update_charge(charge, residency))
        if any(a.item == item for a in self.attempts):
            return self
        # The report may predate a later order for the same item.
        if self.checks_fence and not _is_after_order(charge, residency):
            return self
        return self._without(item)

    def _confirm(self, residency: Residency) -> "Ledger":
        """Updates the charges without unsettled attempts from a report."""
        ledger = self
        busy = {a.item for a in self.attempts}
        for charge in self.charges:
            if charge.item in busy:
                continue
            if charge.item in residency.held:
                ledger = ledger._with(_update_charge(charge, residency))
            elif self._is_gone(charge, residency):
                ledger = ledger._without(charge.item)
        return ledger

    def _is_gone(self, charge: Charge, residency: Residency) -> bool:
        if self.checks_fence:
            return _is_after_order(charge, residency)
        # Without fences, an outdated report of the same boot can not be told
        # from a current one.
        return bool(charge.boot) and residency.boot > charge.boot

    # Copies with one change

    def _with(self, charge: Charge) -> "Ledger":
        others = tuple(c for c in self.charges if c.item != charge.item)
        return dataclasses.replace(self, charges=(*others, charge))

    def _without(self, item: str) -> "Ledger":
        others = tuple(c for c in self.charges if c.item != item)
        return dataclasses.replace(self, charges=others)

    def _checked(self, new: "Ledger") -> "Ledger":
        check_fits(new)
        if new.fence < self.fence or new.boot < self.boot:
            raise errors.InvariantError(
                f"the fence or boot of {self.engine} would decrease"
            )
        return new


def _update_charge(charge: Charge, residency: Residency) -> Charge:
    phase = (
        Phase.RESIDENT if charge.item in residency.resident else Phase.LOADING
    )
    if charge.phase is Phase.RESIDENT and charge.boot == residency.boot:
        phase = Phase.RESIDENT
    return dataclasses.replace(charge, phase=phase, boot=residency.boot)


def _is_after_order(charge: Charge, residency: Residency) -> bool:
    """Whether a report was made after the last order to load the item."""
    reported = (residency.boot, residency.fence)
    return reported >= (charge.ordered_boot, charge.fence)


def _pending(item: str) -> refusals.Refusal:
    return refusals.Refusal(
        refusals.Reason.ORDER_PENDING,
        f"an earlier order for {item} is not settled, or the engine has not"
        " reported yet; wait for it",
        retry_after=1.0,
    )


def check_fits(ledger: Ledger) -> None:
    """Asserts that all items that may be in memory fit the capacity.

    Raises:
        InvariantError: The charges exceed the capacity.
    """
    if ledger.charged > ledger.capacity:
        raise errors.InvariantError(
            f"{ledger.engine}: {ledger.charged} bytes charged,"
            f" capacity {ledger.capacity}"
        )
