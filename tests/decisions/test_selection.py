import random

from wayslip.decisions import budget
from wayslip.decisions import condition
from wayslip.decisions import demand
from wayslip.decisions import manifest
from wayslip.decisions import reading
from wayslip.decisions import selection


def candidate(name, **fields):
    return selection.Candidate(name, **{"slots": 8, **fields})


def test_endpoint_with_less_pending_prefill_is_chosen():
    choice = selection.choose(
        [candidate("a", unread=0.4), candidate("b", unread=0.1)], 0.0
    )
    assert choice.name == "b"


def test_cached_prompt_outweighs_a_short_queue():
    near = candidate("a", reading=0.02, in_flight=3)
    far = candidate("b", reading=0.15)
    assert selection.choose([near, far], 0.0).name == "a"


def test_equal_endpoints_are_chosen_at_random():
    found = {
        selection.choose([candidate("a"), candidate("b")], draw).name
        for draw in (0.0, 0.9)
    }
    assert found == {"a", "b"}


def test_suspended_endpoint_is_used_only_without_others():
    suspended = candidate("a", is_suspended=True)
    assert selection.choose([suspended, candidate("b")], 0.0).name == "b"
    assert selection.choose([suspended], 0.0).name == "a"
    assert selection.choose([], 0.0) is None


def test_failing_endpoint_is_avoided():
    failing = candidate("a", failures=0.4)
    busy = candidate("b", in_flight=8)
    assert selection.choose([failing, busy], 0.0).name == "b"


def test_open_connection_decides_between_equals():
    fresh = candidate("a", is_connected=False)
    assert selection.choose([fresh, candidate("b")], 0.0).name == "b"


def test_back_off_doubles_with_every_failure_and_ends_with_a_success():
    state = condition.Condition().note_unreachable(10.0)
    first = state.rests_until - 10.0
    state = state.note_unreachable(11.0)
    assert state.rests_until - 11.0 == 2 * first
    state = state.note(False, 12.0)
    assert not state.is_backing_off(12.0)


def test_failure_rate_decays_so_that_an_endpoint_is_used_again():
    state = condition.Condition()
    for second in range(10):
        state = state.note(True, float(second))
    assert state.failure_rate(9.0) > 0.3
    assert state.failure_rate(30.0) < 0.02


def test_retries_stay_within_the_ratio_and_the_slack():
    terms = budget.Terms(ratio=0.2, window=10.0, slack=52.0)
    instances, requests = 6, 100
    allowed = 0
    for _ in range(instances):
        one = budget.Budget(terms)
        for number in range(requests):
            one.note_request(number * 0.05)
        while one.take(5.0, instances):
            allowed += 1
    assert allowed <= terms.ratio * instances * requests + terms.slack


def test_budget_forgets_old_requests():
    one = budget.Budget(budget.Terms(0.2, 10.0, 0.0))
    for _ in range(100):
        one.note_request(0.0)
    assert one.take(9.0, 1)
    assert not one.take(11.0, 1)


def test_rates_decay_and_are_removed():
    rates = demand.Rates(4.0)
    rates.add("m", 4, 0.0)
    assert rates.get("m", 0.0) == 1.0
    assert 0.3 < rates.get("m", 4.0) < 0.4
    assert rates.all(100.0) == {}


def test_prefill_rate_is_estimated_for_each_model():
    rates = reading.ReadingRates()
    before = rates.estimate("slow", 2000)
    for _ in range(20):
        rates.learn("slow", 2000, 0.412)
    assert rates.estimate("slow", 2000) > 2 * before
    assert rates.estimate("other", 2000) == before
    rates.learn("other", 100, 9.0)
    assert rates.estimate("other", 2000) == before


def test_samples_delayed_by_other_requests_do_not_lower_the_estimate():
    # An instance that does not know yet that an engine is busy sends it a
    # request and counts the whole wait as prefill time. If such slow samples
    # weigh as much as fast ones, the predicted waits become too long, and
    # requests that could be served are refused.
    rng = random.Random(5)
    for rate in (19_100, 54_600):
        rates = reading.ReadingRates()
        for _ in range(300):
            tokens = rng.randint(600, 4000)
            waited = rng.choice((0.0, 0.0, 0.1, 0.3, 0.5)) * rng.random()
            rates.learn("m", tokens, tokens / rate + 0.012 + waited)
        assert rate * 0.8 < 1 / rates.estimate("m", 1) < rate * 1.2


def test_longest_prefix_of_the_host_wins():
    def make(name, host, prefix):
        split = (manifest.Split("s", 1.0),)
        kind = manifest.RequestKind.IDEMPOTENT
        return manifest.Route(name, host, prefix, kind, 1, 1, 0, split)

    routes = (
        make("short", "a", "/x/"),
        make("long", "a", "/x/y/"),
        make("other", "b", "/x/y/z/"),
    )
    value = manifest.Manifest(1, routes, {})
    assert value.resolve("a", "/x/y/z/1").name == "long"
    assert value.resolve("a", "/x/q").name == "short"
    assert value.resolve("a", "/q") is None
    assert value.resolve("c", "/x/") is None
