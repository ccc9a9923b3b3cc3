"""Adapters are loaded ahead only where they can be."""

from tests.gateway import test_order_sender
from wayslip.decisions import manifest
from wayslip.gateway import adapters
from wayslip.gateway import endpoint_notices as endpoint_notices_module
from wayslip.gateway import members


class OrderSender:
    @property
    def claims(self):
        return self

    def may_claim(self, endpoint):
        return True


def fill(weights_mb, words=None):
    """Returns how many loads are started on an engine that holds 100 MB."""
    model = manifest.Model("m1", 100.0, 10.0, ("a1",), 1.0, 1.0, 1.0)
    pool = manifest.Pool(8, 1000, weights_mb, 2, 1.0, {"m1": model})
    tracked_engine = test_order_sender.make_book("m1")
    started = []
    loader = adapters.Adapters(
        OrderSender(),
        members.Members(),
        started.append,
        lambda: None,
        words=words,
    )
    loader.fill("s", pool, [tracked_engine])
    for work in started:
        work.close()
    return len(started)


def test_adapter_is_loaded_ahead_where_there_is_room():
    assert fill(110.0) == 1


def test_series_that_can_only_end_at_once_is_not_started():
    # Its end woke the planner, which started it again: the process took all
    # of its processor time until something else changed (bellandi trouble-3,
    # seed 2, after all instances were killed).
    assert fill(109.0) == 0


def test_adapter_is_not_loaded_ahead_on_an_engine_that_names_a_limit():
    # Its orders and reports take the places that requests need.
    words = endpoint_notices_module.EndpointNotices()
    start = test_order_sender.make_book("m1").endpoint.incarnation
    words.note_limit(start, 1.0, 0.0)
    assert fill(110.0, words) == 0
    words.note_limit(start, None, float("inf"))
    assert fill(110.0, words) == 1
