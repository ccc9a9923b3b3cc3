"""The executor settles its own attempts although answers are lost."""

import pytest

from tests import system as system_module


@pytest.mark.parametrize("checks_fence", [True, False])
def test_lost_answers_of_the_store_leave_no_attempt_open(checks_fence):
    sections = {"placement": {"quarantine": 3600.0}}
    with system_module.System(
        instances=1, checks_fence=checks_fence, sections=sections
    ) as fleet:
        fleet.apply()
        intent = system_module.grow_intent("k", 5, 3)
        plan = fleet.operate("POST", "/v1/plans", intent.encode()).json["id"]
        # Every write takes effect, but its answer is lost.
        fleet.objects.faults.lose = 1.0
        path = f"/v1/plans/{plan}/confirm"
        while fleet.operate("POST", path).status != 200:
            pass
        system_module.wait_until(
            lambda: any(x.attempts for x in fleet.ledgers().values()),
            "an attempt is written",
        )
        fleet.objects.faults.lose = 0.0
        # Only the sender can settle the attempts: without fence checks they
        # are not given up while it is a member, and the quarantine is an hour.
        system_module.wait_until(
            lambda: not any(x.attempts for x in fleet.ledgers().values()),
            "no attempt is open",
        )
        fleet.wait_done(plan)
        assert all(not e.overcommitted for e in fleet.engines.values())
