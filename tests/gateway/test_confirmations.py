"""Instances that vouch for the newest configuration to each other."""

import dataclasses
from unittest import mock

import pytest

from tests.gateway import harness
from wayslip.decisions import manifest as manifest_module
from wayslip.gateway import configuration
from wayslip.gateway import confirmations
from wayslip.gateway import facts


class Clock:
    def __init__(self):
        self.at = 100.0

    def now(self):
        return self.at


class Hub:
    """Collects what is sent, with the address it goes to."""

    def __init__(self):
        self.sent = []

    def send(self, message, address):
        self.sent.append((message, address))


@dataclasses.dataclass
class Instance:
    confirmations: confirmations.Confirmations
    holder: configuration.Holder
    hub: Hub
    heard: list


@pytest.fixture
def clock():
    found = Clock()
    with mock.patch.object(confirmations, "clock", found):
        yield found


def make_instance(version, peers=()):
    options = harness.make_options("g", "127.0.0.1:1")
    bounds = dataclasses.replace(options.bounds, revocation=5.0)
    holder = configuration.Holder()
    holder.offer(manifest_module.Manifest(version, (), {}))
    hub, heard = Hub(), []
    found = confirmations.Confirmations(
        dataclasses.replace(options, bounds=bounds),
        holder,
        hub,
        lambda: "10.0.0.1:7",
        lambda: list(peers),
        lambda version, age: heard.append((version, age)),
        None,
    )
    return Instance(found, holder, hub, heard)


def ask(instance, clock):
    instance.confirmations._ask(clock.at)
    return instance.hub.sent[-1][0]


def test_age_counts_from_the_question_however_late_the_answer(clock):
    knows, asks = make_instance(3), make_instance(3)
    knows.confirmations.note_read(clock.at)
    clock.at += 0.5
    question = ask(asks, clock)
    knows.confirmations.answer(question, ("10.0.0.2", 7))
    answer, address = knows.hub.sent[-1]
    assert address == ("10.0.0.2", 7)
    clock.at += 3.0
    asks.confirmations.apply_answer(answer)
    assert asks.confirmations.is_reliable
    # 3.5 s old by now, of 3.9 s.
    assert asks.heard == [(3, pytest.approx(3.5))]
    clock.at += 0.5
    assert not asks.confirmations.is_reliable


def test_process_that_slept_wakes_into_lapsed_knowledge(clock):
    instance = make_instance(3)
    instance.confirmations.note_read(clock.at)
    assert instance.confirmations.is_reliable
    clock.at += 20.0
    assert not instance.confirmations.is_reliable


def test_answer_to_no_question_of_ours_counts_for_nothing(clock):
    instance = make_instance(3)
    stamp = int(clock.at * 1e6)
    instance.confirmations.apply_answer(facts.Confirmed(stamp, 3, 0.0))
    assert not instance.confirmations.is_reliable


def test_who_knows_nothing_fresh_does_not_vouch(clock):
    instance = make_instance(3)
    instance.confirmations.answer(facts.Confirm(1), ("10.0.0.2", 7))
    instance.confirmations.note_read(clock.at)
    clock.at += 6.0
    instance.confirmations.answer(facts.Confirm(1), ("10.0.0.2", 7))
    assert not instance.hub.sent


def test_word_of_a_newer_configuration_is_told_and_proves_ours_no_longer(clock):
    instance = make_instance(3)
    question = ask(instance, clock)
    clock.at += 0.1
    instance.confirmations.apply_answer(facts.Confirmed(question.stamp, 4, 0.0))
    assert not instance.confirmations.is_reliable
    assert instance.heard[0][0] == 4
    instance.holder.offer(manifest_module.Manifest(4, (), {}))
    assert instance.confirmations.is_reliable


def test_others_are_asked_besides_a_holder_that_does_not_answer(clock):
    instance = make_instance(3, ["10.0.0.5:7", "10.0.0.6:7"])
    ask(instance, clock)
    assert [a for _, a in instance.hub.sent] == [("10.0.0.1", 7)]
    clock.at += 0.25
    ask(instance, clock)
    assert {a for _, a in instance.hub.sent[1:]} == {
        ("10.0.0.1", 7),
        ("10.0.0.5", 7),
        ("10.0.0.6", 7),
    }
