"""Places at brittle endpoints, as the lease holder grants them."""

from wayslip.decisions import concurrency
from wayslip.decisions import fleet
from wayslip.decisions import place_ledger
from wayslip.decisions import places

START = fleet.Incarnation("e1", 1)
SLOTS = 8


def make(usages=None, now=10.0):
    """Returns places whose holder has heard the given reports."""
    granting = places.Places()
    granting.begin(0.0)
    for name, count in (usages or {}).items():
        granting.reconcile(name, {"e1": count}, now)
    return granting


def ask(granting, now=10.0, name="g1", **fields):
    """Asks for a place; returns the verdict."""
    question = place_ledger.Question(name, SLOTS, **fields)
    return granting.take(START, question, now)


def take(granting, count, now=10.0, name="g1"):
    """Asks for places; returns how many were granted."""
    return sum(ask(granting, now, name).is_granted for _ in range(count))


def leave(granting, now, name="g1", is_refused=False, duration=0.05):
    """Returns a place whose request was answered a moment ago."""
    exchange = None
    if not is_refused:
        sent_at = now - duration
        exchange = concurrency.Exchange(sent_at, sent_at, now, now, 0.005)
    place = place_ledger.Return(name, 0, is_refused, exchange)
    granting.give_back(START, place, now)


def test_first_places_are_those_in_use():
    granting = make({"g1": 3, "g2": 2})
    assert take(granting, 9) == 0
    leave(granting, 10.1, "g2")
    assert take(granting, 9, 10.1) > 0


def test_unused_endpoint_begins_with_few_places():
    assert take(make(), 9) == 2


def test_places_are_added_one_at_a_time_while_all_are_in_use():
    granting = make()
    assert take(granting, 9) == 2
    now = 10.0
    sizes = [2]
    for _ in range(9):
        # All leave at once, after they were there together.
        now += 0.2
        for _ in range(sizes[-1]):
            leave(granting, now, duration=0.2)
        sizes.append(take(granting, 9, now))
    # One more each time, until all slots are in use.
    assert sizes == [2, 3, 4, 5, 6, 7, 8, 8, 8, 8]


def test_return_while_all_places_are_granted_proves_no_room():
    # The other requests may have left the endpoint, or not be there yet.
    granting = make()
    assert take(granting, 2) == 2
    granting.give_back(START, place_ledger.Return("g1"), 10.2)
    assert take(granting, 9, 10.2) == 1
    for now in (10.5, 10.8, 11.1):
        leave(granting, now, duration=0.05)
        assert take(granting, 9, now) == 1


def test_requests_after_each_other_add_no_place():
    granting = make()
    take(granting, 2)
    leave(granting, 10.2, duration=0.05)
    leave(granting, 10.3, duration=0.05)
    assert take(granting, 9, 10.3) == 2


def test_late_messages_add_no_place():
    granting = make()
    take(granting, 2)
    # Both returns came 0.3 s late: the requests may have been there together,
    # or one after the other.
    exchange = concurrency.Exchange(0.0, 0.0, 0.1, 0.1, 0.005)
    for now in (10.4, 10.5):
        granting.give_back(
            START, place_ledger.Return("g1", 0, False, exchange), now
        )
    assert take(granting, 9, 10.5) == 2


def test_clock_known_from_prompt_messages_serves_late_ones():
    granting = make()
    take(granting, 1, 9.9)
    leave(granting, 9.9, duration=0.0)
    take(granting, 2)
    # The clocks are the same, as the messages before showed.
    exchange = concurrency.Exchange(10.0, 10.0, 10.1, 10.1, 0.005)
    for now in (10.4, 10.5):
        granting.give_back(
            START, place_ledger.Return("g1", 0, False, exchange), now
        )
    assert take(granting, 9, 10.5) == 3


def test_stated_requests_add_a_place():
    granting = make()
    assert take(granting, 2) == 2
    granting.note_concurrent(START, 2, 0.1, 10.1)
    assert take(granting, 9, 10.1) == 1


def test_statement_from_before_a_refusal_adds_no_place():
    granting = make()
    take(granting, 2)
    leave(granting, 10.1, is_refused=True)
    granting.note_concurrent(START, 5, 2.0, 11.9)
    assert take(granting, 9, 11.9) == 0


def test_requests_that_stay_long_add_a_place():
    granting = make()
    take(granting, 2)
    leave(granting, 14.0, duration=4.0)
    assert take(granting, 9, 14.0) == 2


def test_repeated_question_gets_the_same_place():
    granting = make()
    for _ in range(3):
        assert ask(granting, number=7).is_granted
    granting.give_back(START, place_ledger.Return("g1", 7), 10.1)
    assert take(granting, 9, 10.1) == 2


def test_place_is_returned_by_its_number():
    granting = make()
    ask(granting, number=7)
    ask(granting, number=8)
    granting.give_back(START, place_ledger.Return("g1", 8), 10.1)
    granting.give_back(START, place_ledger.Return("g1", 8), 10.2)
    # Only one is free: that of number 7 is in use.
    assert take(granting, 9, 10.2) == 1


def test_refusal_leaves_one_place_less_and_stops_growth():
    granting = make()
    take(granting, 2)
    leave(granting, 10.2, duration=0.2)
    leave(granting, 10.2, duration=0.2)
    assert take(granting, 9, 10.2) == 3
    leave(granting, 10.3, is_refused=True)
    assert take(granting, 9, 10.3) == 0
    leave(granting, 10.5, duration=0.3)
    assert take(granting, 9, 10.5) == 1
    leave(granting, 12.0, duration=1.5)
    leave(granting, 12.0, duration=1.5)
    assert take(granting, 9, 12.0) == 3


def test_lost_return_is_made_up_for_by_reports():
    granting = make()
    assert take(granting, 2) == 2
    granting.reconcile("g1", {"e1": 0}, 10.2)
    assert take(granting, 1, 10.2) == 0
    granting.reconcile("g1", {"e1": 0}, 10.7)
    assert take(granting, 2, 10.7) == 2


def test_places_of_an_instance_that_ended_are_free_again():
    granting = make()
    granting.reconcile("g2", {"e1": 1}, 10.0)
    assert take(granting, 1, name="g2") == 1
    granting.reconcile("g1", {}, 11.0)
    assert take(granting, 9, 11.0) == 1
    granting.reconcile("g1", {"e1": 1}, 12.5)
    assert take(granting, 9, 12.5) == 1


def test_new_holder_grants_nothing_before_reports_came():
    granting = make()
    granting.begin(20.0)
    verdict = ask(granting, 20.1)
    assert not verdict.is_granted
    assert 0.0 < verdict.wait < 1.0


def test_wait_grows_with_those_refused_before():
    granting = make()
    take(granting, 2)
    waits = [ask(granting).wait for _ in range(3)]
    assert waits == sorted(waits)
    assert waits[0] < waits[2]


def test_depth_rises_slowly_after_a_refusal():
    depth = places.Depth(4, 10.0)
    assert depth.find(SLOTS, 10.0) == 4
    assert depth.find(SLOTS, 14.0) == 6
    assert depth.find(SLOTS, 100.0) == SLOTS
    assert places.Depth(0, 10.0).find(SLOTS, 10.0) == 1


def test_shares_without_a_holder_fit_together():
    draws = [n / 10 for n in range(10)]
    assert sum(places.find_share(6, 10, d) for d in draws) <= 3
    assert sum(places.find_share(45, 10, d) for d in draws) <= 23
    assert places.find_share(6, 0, 0.5) == 3


def test_request_that_asks_again_does_not_lengthen_the_wait():
    granting = make()
    take(granting, 2)
    waits = [ask(granting, is_first=n == 0).wait for n in range(4)]
    assert waits[1] == waits[3]


def test_free_place_goes_to_who_waits_longest():
    granting = make()
    take(granting, 2)
    for number in (7, 8):
        assert ask(granting, number=number, max_wait=1.0).is_waiting
    assert not granting.grant_waiting(10.1)
    leave(granting, 10.2)
    granted = granting.grant_waiting(10.2)
    assert [question.number for _, question in granted] == [7]


def test_place_is_not_granted_to_who_waited_too_long():
    granting = make()
    take(granting, 2)
    ask(granting, number=7, max_wait=1.0)
    leave(granting, 11.5)
    assert not granting.grant_waiting(11.5)


def test_question_that_is_given_up_does_not_wait():
    granting = make()
    take(granting, 2)
    ask(granting, number=7, max_wait=1.0)
    granting.give_back(START, place_ledger.Return("g1", 7), 10.1)
    granted = granting.grant_waiting(10.1)
    assert not granted


def test_question_without_patience_does_not_wait():
    granting = make()
    take(granting, 2)
    assert not ask(granting, number=7).is_waiting


def test_repeated_question_does_not_lengthen_the_wait():
    granting = make()
    take(granting, 2)
    first = ask(granting, number=7, max_wait=1.0)
    for _ in range(3):
        ask(granting, number=7, max_wait=1.0)
    granting.give_back(START, place_ledger.Return("g1", 7), 10.0)
    assert ask(granting, number=8, is_first=False).wait == first.wait + 1.0


def test_question_that_is_given_up_counts_as_no_return():
    granting = make({"g1": 2})
    before = ask(granting, is_first=False).wait
    granting.give_back(START, place_ledger.Return("g1", 7), 10.0)
    assert ask(granting, is_first=False).wait == before
    assert take(granting, 9) == 0
