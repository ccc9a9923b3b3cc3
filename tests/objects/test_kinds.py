"""Malformed objects in the store are rejected and counted, never used."""

import hypothesis
from hypothesis import strategies as st
import pytest

from standins import objects as objects_standin
from wayslip import errors
from wayslip import metrics
from wayslip import settings
from wayslip.decisions import configuration
from wayslip.decisions import ledger
from wayslip.objects import client as client_module
from wayslip.objects import kinds

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["engine", "entries", "charges", "records", "x"]),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)


@hypothesis.given(JSON, st.sampled_from(list(kinds.KINDS)))
def test_any_json_is_parsed_or_refused(value, name):
    kind = kinds.KINDS.get(name)
    try:
        parsed = kind.parse(value)
    except errors.ObjectError:
        return
    assert kind.parse(kind.dump(parsed)) == parsed


def test_configuration_round_trips():
    values = (
        configuration.Pool("p", ("e0",)),
        configuration.Model("m", "p", "v1"),
        configuration.Version("m", "v1", 5),
        configuration.Placement("e0", ("m@v1",)),
    )
    change = configuration.Change(values, ((configuration.Kind.POOL, "q"),))
    config = configuration.Configuration().apply(change, "p-1", "olga")
    kind = kinds.CONFIGURATION
    assert kind.parse(kind.dump(config)) == config


@pytest.fixture
def store():
    api = objects_standin.ObjectApi().start()
    # These tests do not depend on the timeout. With 1 s, one of them failed on
    # a machine with three times as many busy processes as cores.
    options = settings.Objects(
        url=f"http://{api.address}", token="t" * 16, timeout=10.0
    )
    counts = metrics.Metrics()
    yield api, client_module.ObjectClient(options, counts), counts
    api.stop()


def test_malformed_object_in_a_list_is_left_out_and_counted(store):
    api, client, counts = store
    bad = {"metadata": {"name": "bad"}, "spec": {"capacity": "much"}}
    api.write("POST", "ledgers", "", bad)
    client.create(kinds.LEDGER, "e0", ledger.Ledger("e0", 5, True))
    listing = client.list(kinds.LEDGER)
    assert [s.name for s in listing.items] == ["e0"]
    assert counts.value("objects_malformed", kind="ledgers") == 1
    with pytest.raises(errors.ObjectError, match="malformed"):
        client.get(kinds.LEDGER, "bad")


def test_object_that_can_not_be_parsed_hides_no_other(store):
    # Guards against a list that is lost for one value in it.
    api, client, _ = store
    client.create(kinds.LEDGER, "e0", ledger.Ledger("e0", 5, True))
    client.create(kinds.LEDGER, "e1", ledger.Ledger("e1", 5, True))
    whole = client._http.request
    deep = b"[" * 1_200 + b"]" * 1_200

    def request(*args, **fields):
        response = whole(*args, **fields)
        response._body = response.data.replace(b'"e1", ', deep + b", ")
        return response

    assert api.address
    client._http.request = request
    assert [s.name for s in client.list(kinds.LEDGER).items] == ["e0"]


def test_create_with_lost_answer_is_recovered(store):
    api, client, _ = store
    api.faults.lose = 1.0
    wanted = ledger.Ledger("e1", 5, True)
    with pytest.raises(errors.ObjectUnavailableError):
        client.create(kinds.LEDGER, "e1", wanted)
    api.faults.lose = 0.0
    stored = client.change(kinds.LEDGER, "e1", lambda known: known or None)
    assert stored.value == wanted


def test_conflict_writes_nothing(store):
    _, client, _ = store
    first = client.create(kinds.LEDGER, "e2", ledger.Ledger("e2", 5, True))
    client.update(kinds.LEDGER, first, ledger.Ledger("e2", 6, True))
    with pytest.raises(errors.ObjectConflictError):
        client.update(kinds.LEDGER, first, ledger.Ledger("e2", 7, True))
    assert client.get(kinds.LEDGER, "e2").value.capacity == 6
