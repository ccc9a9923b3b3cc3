"""The life cycle of plans: propose, confirm, cancel, finish.

A confirmation claims the plan by a conditional update, checks that the state
which the plan was based on is unchanged, and then writes the change to the
configuration object, together with the plan's id. By that id a confirmation
whose answer was lost is recognised, so that no plan is applied twice.
"""

import dataclasses
import logging
import time
import uuid

from wayslip import logs
from wayslip import refusals
from wayslip import settings as settings_module
from wayslip.control import world as world_module
from wayslip.decisions import configuration
from wayslip.decisions import ledger as ledger_module
from wayslip.decisions import plan as plan_module
from wayslip.objects import client as client_module
from wayslip.objects import kinds

_LOG = logging.getLogger(__name__)
# After this time another operator may continue a confirmation that did not
# complete.
_CLAIM_TIMEOUT_SECONDS = 10.0
# Older plans are deleted, except confirmed ones.
_MAX_PLANS = 100

Result = plan_module.Plan | refusals.Refusal


@dataclasses.dataclass(frozen=True)
class Progress:
    """How many of a plan's steps are done, by the ledgers."""

    done: int
    total: int


class Planner:
    """Creates, confirms and cancels plans.

    Operators and automatic placement change the configuration only through it.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        world: world_module.WorldView,
        client: client_module.ObjectClient,
    ) -> None:
        self._settings = settings
        self._world = world
        self._client = client

    # Proposing

    def propose(
        self,
        change: configuration.Change,
        author: str,
        replicas: dict[str, int] | None = None,
    ) -> Result:
        """Creates and stores a plan; nothing else changes.

        Args:
            change: The change of the configuration.
            author: Who proposes it, an operator or automatic placement.
            replicas: Desired replicas of models, instead of the models' own.
        """
        world = self._read_world()
        limits = self._settings.placement
        store = plan_module.WeightStore(limits.load_rate, limits.load_slots)
        draft = plan_module.Draft(
            f"p-{uuid.uuid4().hex[:10]}", author, time.time()
        )
        plan = plan_module.build_plan(world, change, store, draft, replicas)
        if isinstance(plan, refusals.Refusal):
            return plan
        self._client.create(kinds.PLAN, plan.id, plan)
        logs.event(
            _LOG,
            "plan_proposed",
            plan=plan.id,
            author=author,
            moves=plan.cost.moves,
        )
        return plan

    def _read_world(self) -> plan_module.World:
        """Reads configuration and ledgers from the object API, uncached."""
        stored = self._client.find(kinds.CONFIGURATION, kinds.CURRENT)
        if stored is not None:
            self._world.node.holder.offer(stored.value, "objects")
        listing = self._client.list(kinds.LEDGER)
        ledgers = {s.name: s.value for s in listing.items}
        config = stored.value if stored else configuration.Configuration()
        return plan_module.World(config, self._world.engine_states(ledgers))

    # Looking up

    def get(self, plan_id: str) -> Result:
        """Returns a plan."""
        stored = self._client.find(kinds.PLAN, plan_id)
        if stored is None:
            return refusals.Refusal(
                refusals.Reason.WRONG_STATE,
                f"there is no plan {plan_id}; 'wayslipctl plans' lists them",
            )
        return stored.value

    def list(self) -> list[plan_module.Plan]:
        """Returns all plans, the newest first."""
        listing = self._client.list(kinds.PLAN)
        plans = [s.value for s in listing.items]
        return sorted(plans, key=lambda p: -p.at)

    def progress(self, plan: plan_module.Plan) -> Progress:
        """Returns how many of a plan's steps are done, by the ledgers."""
        ledgers = self._world.ledgers.objects
        done = 0
        for step in plan.steps:
            ledger = ledgers.get(step.engine)
            charge = ledger.get(step.item) if ledger else None
            resident = (
                charge is not None
                and charge.phase is ledger_module.Phase.RESIDENT
            )
            is_load = step.action is ledger_module.Action.LOAD
            done += resident if is_load else charge is None
        return Progress(done, len(plan.steps))

    # Confirming

    def confirm(self, plan_id: str, operator: str) -> Result:
        """Puts a plan into force once, unless its basis has changed.

        The basis is the configuration and the engines that it was made for.

        Raises:
            ObjectUnavailableError: The plan may or may not be in force;
                confirming again is safe and returns the result.
        """
        claimed = self._claim(plan_id, operator)
        if isinstance(claimed, refusals.Refusal):
            return claimed
        applied = self._apply(claimed, operator)
        if isinstance(applied, refusals.Refusal):
            self._cancel_claimed(plan_id, operator)
            return applied
        self._world.node.holder.offer(applied, "confirm")
        self._world.node.push_generation()
        record = applied.find_applied(plan_id)
        generation = record.generation if record else applied.generation
        logs.event(
            _LOG,
            "plan_confirmed",
            plan=plan_id,
            operator=operator,
            generation=generation,
        )
        return self._note_generation(plan_id, generation)

    def _claim(self, plan_id: str, operator: str) -> Result:
        now = time.time()

        def step(known: plan_module.Plan | None) -> Result:
            if known is None:
                return refusals.Refusal(
                    refusals.Reason.WRONG_STATE,
                    f"there is no plan {plan_id}; apply a file first",
                )
            if known.state is plan_module.PlanState.PROPOSED:
                return dataclasses.replace(
                    known,
                    state=plan_module.PlanState.CONFIRMED,
                    ended_by=operator,
                    at=now,
                )
            is_same_operator = known.ended_by == operator
            is_abandoned = (
                not known.generation and now - known.at > _CLAIM_TIMEOUT_SECONDS
            )
            confirmed = known.state is plan_module.PlanState.CONFIRMED
            if confirmed and (is_same_operator or is_abandoned):
                return known
            return refusals.Refusal(
                refusals.Reason.WRONG_STATE,
                f"plan {plan_id} is {known.state} by {known.ended_by};"
                " make a new plan if something is left to change",
            )

        stored = self._client.change(kinds.PLAN, plan_id, step)
        return stored if isinstance(stored, refusals.Refusal) else stored.value

    def _apply(
        self, plan: plan_module.Plan, operator: str
    ) -> configuration.Configuration | refusals.Refusal:
        def step(
            known: configuration.Configuration | None,
        ) -> configuration.Configuration | refusals.Refusal:
            known = known or configuration.Configuration()
            if known.find_applied(plan.id) is not None:
                return known
            world = dataclasses.replace(self._read_world(), config=known)
            changed = plan_module.find_changes(plan, world)
            if changed:
                return refusals.Refusal(
                    refusals.Reason.WORLD_CHANGED,
                    f"the state has changed since plan {plan.id} was made"
                    f" ({', '.join(changed)});"
                    " apply the file again for a new plan",
                )
            return known.apply(plan.change, plan.id, operator)

        stored = self._client.change(kinds.CONFIGURATION, kinds.CURRENT, step)
        return stored if isinstance(stored, refusals.Refusal) else stored.value

    def _note_generation(self, plan_id: str, generation: int) -> Result:
        def step(known: plan_module.Plan | None) -> Result:
            assert known is not None
            return dataclasses.replace(known, generation=generation)

        stored = self._client.change(kinds.PLAN, plan_id, step)
        return stored if isinstance(stored, refusals.Refusal) else stored.value

    # Ending

    def cancel(self, plan_id: str, operator: str) -> Result:
        """Cancels a plan that has not been confirmed."""

        def step(known: plan_module.Plan | None) -> Result:
            if known is None or known.state not in (
                plan_module.PlanState.PROPOSED,
                plan_module.PlanState.CANCELLED,
            ):
                state = known.state if known else "unknown"
                return refusals.Refusal(
                    refusals.Reason.WRONG_STATE,
                    f"plan {plan_id} is {state}; only a proposed plan can be"
                    " cancelled; apply the reverse change to undo one",
                )
            return dataclasses.replace(
                known,
                state=plan_module.PlanState.CANCELLED,
                ended_by=known.ended_by or operator,
            )

        stored = self._client.change(kinds.PLAN, plan_id, step)
        return stored if isinstance(stored, refusals.Refusal) else stored.value

    def _cancel_claimed(self, plan_id: str, operator: str) -> None:
        """Cancels a claimed plan that could not be applied."""

        def step(known: plan_module.Plan | None) -> Result:
            assert known is not None
            return dataclasses.replace(
                known,
                state=plan_module.PlanState.CANCELLED,
                ended_by=operator,
            )

        self._client.change(kinds.PLAN, plan_id, step)

    def finish(self) -> None:
        """Marks completed plans as done and deletes old plans."""
        for index, plan in enumerate(self.list()):
            if index >= _MAX_PLANS and plan.state is not (
                plan_module.PlanState.CONFIRMED
            ):
                self._client.delete(kinds.PLAN, plan.id)
                continue
            confirmed = plan.state is plan_module.PlanState.CONFIRMED
            if not confirmed or not plan.generation:
                continue
            progress = self.progress(plan)
            if progress.done == progress.total:
                self._mark_done(plan)

    def _mark_done(self, plan: plan_module.Plan) -> None:
        def step(known: plan_module.Plan | None) -> Result:
            assert known is not None
            return dataclasses.replace(known, state=plan_module.PlanState.DONE)

        self._client.change(kinds.PLAN, plan.id, step)
        logs.event(_LOG, "plan_done", plan=plan.id)
