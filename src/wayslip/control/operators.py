"""The operators' calls: plans, status, and dump and drain of instances."""

from collections.abc import Callable
import json
from typing import Any

from wayslip import admin
from wayslip import clock
from wayslip import errors
from wayslip import refusals
from wayslip import registry
from wayslip import web
from wayslip.control import intents
from wayslip.control import plans as plans_module
from wayslip.control import world as world_module
from wayslip.decisions import facts
from wayslip.decisions import plan as plan_module
from wayslip.objects import kinds
from wayslip.peers import messages

_CALL_SECONDS = 3.0

Call = Callable[["Operations", web.Request, str, str], web.Answer]
CALLS: registry.Registry[Call] = registry.Registry("operators' call")


class Operations:
    """Answers operators' calls to a control."""

    def __init__(
        self,
        world: world_module.WorldView,
        planner: plans_module.Planner,
    ) -> None:
        self.world = world
        self.planner = planner

    def answer(self, request: web.Request, operator: str) -> web.Answer | None:
        """Answers a call to "/v1/SUBJECT[/NAME[/ACTION]]".

        Returns:
            The answer, or None if there is no such call.
        """
        parts = request.path.strip("/").split("/")
        if len(parts) < 2 or parts[0] != "v1":
            return None
        subject = parts[1]
        name = parts[2] if len(parts) > 2 else ""
        action = parts[3] if len(parts) > 3 else ""
        key = f"{request.method} {subject}"
        key += " NAME" if name else ""
        key += f" {action}" if action else ""
        if key not in list(CALLS):
            return None
        try:
            return CALLS.get(key)(self, request, operator, name)
        except errors.BadRequestError as e:
            return admin.answer_problem(400, e.reason, e.remedy)
        except errors.WayslipError as e:
            return admin.answer_problem(503, e.reason, e.remedy)

    def show_plan(self, plan: plan_module.Plan) -> Any:
        """Returns a plan with its progress, as JSON values."""
        shown = kinds.PLAN.dump(plan)
        progress = self.planner.progress(plan)
        shown["progress"] = {"done": progress.done, "total": progress.total}
        return shown

    def answer_plan(self, result: plans_module.Result) -> web.Answer:
        """Returns the answer for a plan or a refusal."""
        if isinstance(result, refusals.Refusal):
            status = (
                400
                if result.reason
                in (refusals.Reason.BAD_REQUEST, refusals.Reason.NO_MEMORY)
                else 409
            )
            return web.answer_json(
                status, {"reason": result.detail, "kind": result.reason}
            )
        return web.answer_json(200, self.show_plan(result))


@CALLS.register("POST plans")
def propose_plan(
    ops: Operations, request: web.Request, operator: str, name: str
) -> web.Answer:
    """Creates a plan from an intent file."""
    text = request.read().decode("utf-8", errors="replace")
    change = intents.parse_intent(text)
    return ops.answer_plan(ops.planner.propose(change, operator))


@CALLS.register("GET plans")
def list_plans(
    ops: Operations, request: web.Request, operator: str, name: str
) -> web.Answer:
    """Lists all plans, the newest first."""
    plans = [ops.show_plan(p) for p in ops.planner.list()]
    return web.answer_json(200, {"plans": plans})


@CALLS.register("GET plans NAME")
def show_plan(
    ops: Operations, request: web.Request, operator: str, name: str
) -> web.Answer:
    """Shows one plan."""
    return ops.answer_plan(ops.planner.get(name))


@CALLS.register("POST plans NAME confirm")
def confirm_plan(
    ops: Operations, request: web.Request, operator: str, name: str
) -> web.Answer:
    """Puts a plan into force."""
    return ops.answer_plan(ops.planner.confirm(name, operator))


@CALLS.register("POST plans NAME cancel")
def cancel_plan(
    ops: Operations, request: web.Request, operator: str, name: str
) -> web.Answer:
    """Cancels a plan."""
    return ops.answer_plan(ops.planner.cancel(name, operator))


@CALLS.register("GET status")
def show_status(
    ops: Operations, request: web.Request, operator: str, name: str
) -> web.Answer:
    """Shows the generation, members, missing items and object API's age."""
    world = ops.world
    sets = world.replica_sets()
    required = world.catalog.required
    not_resident = sorted(
        i for i in required if i not in sets or not sets[i].engines
    )
    members = [
        {
            "name": m.name,
            "status": m.status,
            "address": m.address,
            "data_hall": m.data_hall,
        }
        for m in sorted(world.node.members(), key=lambda m: m.name)
    ]
    value = {
        "generation": world.node.holder.generation,
        "members": members,
        "models": len(world.catalog.models),
        "items": len(required),
        "not_resident": not_resident,
        "object_api_age": round(world.endpoints.age, 1),
    }
    return web.answer_json(200, value)


@CALLS.register("GET models")
def show_models(
    ops: Operations, request: web.Request, operator: str, name: str
) -> web.Answer:
    """Lists the names that callers can use and where they are resident."""
    sets = ops.world.replica_sets()
    rows = []
    for target in sorted(
        ops.world.catalog.targets.values(), key=lambda t: t.name
    ):
        engines = [
            sets[i].engines if i in sets else frozenset() for i in target.items
        ]
        ready = sorted(frozenset.intersection(*engines))
        rows.append(
            {
                "name": target.name,
                "items": list(target.items),
                "size": sum(ops.world.catalog.sizes[i] for i in target.items),
                "ready_on": ready,
                "fallback": target.fallback,
            }
        )
    return web.answer_json(200, {"models": rows})


@CALLS.register("GET endpoints")
def show_endpoints(
    ops: Operations, request: web.Request, operator: str, name: str
) -> web.Answer:
    """Lists the endpoints with memory, phase and age of the last report."""
    ledgers = ops.world.ledgers.objects
    leaving = {
        f.subject for f in ops.world.node.facts(facts.Topic.LEAVING) if f.value
    }
    rows = []
    for endpoint in sorted(
        ops.world.endpoints.objects.values(), key=lambda e: e.name
    ):
        ledger = ledgers.get(endpoint.name)
        received = ops.world.last_report(endpoint.name)
        phase = "leaving" if endpoint.name in leaving else endpoint.phase
        rows.append(
            {
                "name": endpoint.name,
                "role": endpoint.role,
                "address": endpoint.address,
                "data_hall": endpoint.data_hall,
                "phase": phase,
                "is_live": ops.world.is_live(endpoint),
                "capacity": endpoint.capacity,
                "charged": ledger.charged if ledger else 0,
                "items": [c.item for c in ledger.charges] if ledger else [],
                "unsettled": len(ledger.attempts) if ledger else 0,
                "report_age": clock.now() - received.at if received else None,
            }
        )
    return web.answer_json(200, {"endpoints": rows})


@CALLS.register("GET instances NAME dump")
def dump_instance(
    ops: Operations, request: web.Request, operator: str, name: str
) -> web.Answer:
    """Returns the state of both daemons of an instance."""
    dumps: dict[str, Any] = {}
    for role in ("entry", "control"):
        member = ops.world.node.find(f"{role}/{name}")
        if member is None:
            continue
        answer = ops.world.node.call(
            member, messages.Dump(), messages.Dumped, _CALL_SECONDS
        )
        dumps[role] = json.loads(answer.text)
    if not dumps:
        return _answer_no_instance(name)
    return web.answer_json(200, dumps)


@CALLS.register("POST instances NAME drain")
def drain_instance(
    ops: Operations, request: web.Request, operator: str, name: str
) -> web.Answer:
    """Starts the planned stop of both daemons of an instance."""
    draining = []
    # The entry first: it has callers, and it makes no calls to the control.
    for role in ("entry", "control"):
        member = ops.world.node.find(f"{role}/{name}")
        if member is None:
            continue
        ops.world.node.call(
            member, messages.Drain(operator), messages.Draining, _CALL_SECONDS
        )
        draining.append(member.name)
    if not draining:
        return _answer_no_instance(name)
    return web.answer_json(200, {"draining": draining})


def _answer_no_instance(name: str) -> web.Answer:
    return admin.answer_problem(
        404,
        f"no instance {name!r} is a member",
        "'wayslipctl status' lists the members",
    )
