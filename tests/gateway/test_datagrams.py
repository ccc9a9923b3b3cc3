import dataclasses

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from wayslip import errors
from wayslip import metrics
from wayslip.decisions import fanout
from wayslip.gateway.sharing import datagrams
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub

STATE = facts.State(
    1,
    2,
    "127.0.0.1:9",
    True,
    3,
    facts.WatchProgress(4, 0.5),
    facts.WatchProgress(5, 0.25),
    (facts.Usage("e1", 2, (10, 20)),),
    levels=(facts.Level("shop", 7, 8),),
)


def change(message, edit):
    values = cbor2.loads(datagrams.encode(message))
    edit(values)
    return datagrams.decode(cbor2.dumps(values))


def test_fields_of_a_later_release_are_ignored():
    def edit(values):
        values.append({"unknown": [1]})
        values[8][0].append("later")
        values[6].append(99)

    assert change(STATE, edit) == STATE


def test_missing_fields_take_their_defaults():
    found = change(STATE, lambda values: values.__delitem__(slice(9, None)))
    assert found.usages == STATE.usages
    assert found.levels == ()
    assert found.stamp == 0


def test_missing_field_of_a_part_takes_its_default():
    report = facts.Report(
        "g1", "h", "p", 1, False, (), (facts.Demand("s", "m", "", 1, 0.5, 1),)
    )
    found = change(report, lambda values: values[7][0].pop())
    assert found.demands == (facts.Demand("s", "m", "", 1, 0.5, 0),)


def test_message_without_a_required_field_is_rejected():
    with pytest.raises(errors.FrameError):
        change(STATE, lambda values: values.__delitem__(slice(5, None)))


def test_unknown_kind_is_rejected():
    with pytest.raises(errors.FrameError):
        datagrams.decode(cbor2.dumps([999, 1]))


_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.binary(max_size=8)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=12,
)


@hypothesis.given(
    strategies.sampled_from(sorted(datagrams._KINDS)) | _VALUES,
    strategies.lists(_VALUES, max_size=14),
)
def test_values_of_any_type_are_read_or_rejected(number, values):
    # Guards against errors that the receiver of datagrams does not expect.
    try:
        datagrams.decode(cbor2.dumps([number, *values]))
    except errors.FrameError:
        pass


@pytest.mark.parametrize(
    "data",
    [
        b"\x81" * 60_000 + b"\x01",
        # A list that contains itself.
        b"\x82\x08\xd8\x1c\x81\xd8\x1d\x00",
    ],
)
def test_nested_datagram_is_rejected(data):
    with pytest.raises(errors.FrameError):
        datagrams.decode(data)


@pytest.mark.parametrize(
    "message",
    [
        facts.SpeedReport("g1", (facts.SpeedSample("e1", 1, 1.7, 2.5, 0.1),)),
        facts.SpeedState(3, (facts.SpeedSample("e1", 1, 0.0, 1.0, 0.0),)),
        facts.ShareReport("g1", "p", 2, (facts.ShareUse("s", "shop", 9, 8),)),
        facts.ShareState(3, (facts.ShareLevel("s", "shop", 5.5, 6.5),)),
    ],
)
def test_message_is_decoded_as_encoded(message):
    assert datagrams.decode(datagrams.encode(message)) == message


def test_part_that_can_not_be_encoded_is_left_out():
    # Guards against one entry that keeps all changes from the instances, or
    # ends the task that announces them.
    good = facts.Listed("e1", "s", "127.0.0.1:9", "h", 1, False, ())
    odd = dataclasses.replace(good, endpoint="e2", service="kiosk-\ud83d")
    changes = facts.Changes(1, 2, 3, (odd, good), ("e3", "e\ud83d"))
    found = datagrams.decode(datagrams.encode(changes))
    assert found == facts.Changes(1, 2, 3, (good,), ("e3",))


def test_message_that_can_not_be_encoded_is_not_sent():
    sent = []
    peers = hub.Hub(lambda message, source: None, metrics.Metrics())
    peers._send = lambda data, address: sent.append(data)
    odd = facts.Leaving("e\ud83d", 1)
    peers.send(odd, ("127.0.0.1", 9))
    peers.broadcast(odd, [fanout.Peer("127.0.0.1:9", "h")])
    assert sent == []
    peers.send(facts.Leaving("e1", 1), ("127.0.0.1", 9))
    assert len(sent) == 1


def test_value_of_an_unknown_type_is_an_error_of_the_program():
    # Guards against hiding such an error among those of foreign text.
    with pytest.raises(cbor2.CBOREncodeError):
        datagrams.encode(facts.Leaving(object(), 1))
