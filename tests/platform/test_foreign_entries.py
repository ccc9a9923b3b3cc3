"""Malformed entries of other writers in the platform's store.

These tests guard against one malformed entry that makes every list and watch
of its kind fail. If decoding raises, the store counts as lost, and the next
attempt reads the same entry again: all instances lose their list of engines,
and an unreadable configuration blocks the next, valid one.
"""

import asyncio
import json

import hypothesis
from hypothesis import strategies
import pytest

from standins import platform_site
from standins import platform_store
from tests.gateway import harness
from wayslip import addresses
from wayslip import documents
from wayslip import errors
from wayslip.decisions import position
from wayslip.gateway import store as gateway_store
from wayslip.gateway.sharing import datagrams
from wayslip.gateway.sharing import facts
from wayslip.platform import decoding
from wayslip.platform import engines
from wayslip.platform import kinds
from wayslip.platform import store

_GOOD = platform_site.entry("models", "127.0.0.1:9", ["m1"])
# The first half of a surrogate pair, as an escape in JSON may name it.
_HALF_PAIR = "kiosk-\ud83d"
# A field of an entry, and an invalid value for it.
_WRONG = [
    ("service", _HALF_PAIR),
    ("zone", _HALF_PAIR),
    ("version", _HALF_PAIR),
    ("models", [{"name": _HALF_PAIR}]),
    ("models", [{"name": "m1", "adapters": [_HALF_PAIR]}]),
    ("at_hand", {"in_memory": [_HALF_PAIR]}),
    ("at_hand", {"on_disk": [_HALF_PAIR]}),
    ("service", None),
    ("service", 7),
    ("service", ""),
    ("service", "x" * 10_000),
    ("address", "nowhere"),
    ("address", "127.0.0.1"),
    ("address", "127.0.0.1:0"),
    ("address", "127.0.0.1:70000"),
    ("address", ["127.0.0.1", 9]),
    ("zone", 3),
    ("slots", "8"),
    ("slots", True),
    ("slots", 0),
    ("slots", 2.5),
    ("state", "thinking"),
    ("state", True),
    ("seq", "4"),
    ("seq", -1),
    ("seq", False),
    ("born", "1771376907580"),
    ("born", 1.5),
    ("born", True),
    ("models", "m1"),
    ("models", ["m1"]),
    ("models", [{"name": 4}]),
    ("models", [{"name": "m1", "adapters": "a1"}]),
    ("models", [{"name": "m1", "adapters": [7]}]),
    ("at_hand", []),
    ("at_hand", {"on_disk": "m1"}),
    ("at_hand", {"in_memory": [1]}),
]
_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=8,
)
_MUTATED = strategies.dictionaries(
    strategies.sampled_from([*_GOOD, "born", "at_hand"]), _VALUES, max_size=4
).map(lambda changes: {**_GOOD, **changes})


@pytest.mark.parametrize(("field", "value"), _WRONG)
def test_entry_with_a_wrong_field_is_refused(field, value):
    with pytest.raises(errors.ObjectError, match=field):
        decoding.decode_endpoint("e1", {**_GOOD, field: value})


@pytest.mark.parametrize(
    "field", ["service", "address", "zone", "slots", "state", "seq"]
)
def test_entry_without_a_field_is_refused(field):
    entry = {k: v for k, v in _GOOD.items() if k != field}
    with pytest.raises(errors.ObjectError, match=field):
        decoding.decode_endpoint("e1", entry)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("seq", "3"),
        ("seq", True),
        ("seq", -1),
        ("busy", "no"),
        ("models", {}),
        ("models", [{"name": _HALF_PAIR}]),
        ("coming", [f"m1/{_HALF_PAIR}@1"]),
        ("coming", "m1/a1@1"),
        ("coming", [3]),
        ("born", "7"),
    ],
)
def test_report_with_a_wrong_field_is_refused(field, value):
    report = {"seq": 3, "busy": False, "models": [], field: value}
    with pytest.raises(errors.EndpointError, match=field):
        decoding.decode_state(report)


@hypothesis.given(_VALUES | _MUTATED)
def test_decoders_raise_only_their_own_error(value):
    for decode, error in (
        (lambda v: decoding.decode_endpoint("e1", v), errors.ObjectError),
        (decoding.decode_state, errors.EndpointError),
        (decoding.decode_manifest, errors.ObjectError),
    ):
        try:
            decode(value)
        except error:
            pass


def with_client(test):
    async def body(*args):
        standin = platform_store.PlatformStore()
        address = await standin.start()
        client = store.PlatformStore(addresses.split_address(address))
        try:
            async with asyncio.timeout(20):
                await test(standin, client, *args)
        finally:
            client.close()
            standin.stop()

    return body


@with_client
async def _read_mixed_entries(standin, client, entries):
    """Reads valid and malformed entries by a list and by a watch."""
    revision = (await client.list(kinds.ENDPOINTS)).revision
    for number, (entry, _) in enumerate(entries):
        standin.put("servers", f"e{number}", entry)
    good = {f"e{n}" for n, (_, is_good) in enumerate(entries) if is_good}
    listing = await client.list(kinds.ENDPOINTS)
    assert {i.name for i in listing.items} == good
    assert {r.name for r in listing.refused} | good == {
        f"e{n}" for n in range(len(entries))
    }
    changes = await client.watch(kinds.ENDPOINTS, revision, 0.1)
    assert {c.name for c in changes.items if c.value is not None} == good
    newest = position.make(standin.era, standin.revision)
    assert changes.revision == newest


_ENTRIES = strategies.lists(
    strategies.just((_GOOD, True))
    | strategies.sampled_from(_WRONG).map(
        lambda wrong: ({**_GOOD, wrong[0]: wrong[1]}, False)
    )
    | strategies.text(max_size=5).map(lambda text: (text, False)),
    max_size=8,
)


@hypothesis.settings(max_examples=30)
@hypothesis.given(_ENTRIES)
def test_bad_entries_do_not_affect_others(entries):
    asyncio.run(_read_mixed_entries(entries))


@pytest.mark.parametrize("name", [_HALF_PAIR, "e 1", "e\r\n1", "e\u0416", 7])
def test_entry_whose_name_fits_no_header_is_refused(name):
    # Guards against requests that fail when the endpoint is named in them.
    with pytest.raises(errors.ObjectError, match="name"):
        decoding.decode_endpoint(name, _GOOD)


@with_client
async def _list_by_pages(standin, client):
    standin.faults.page = 2
    for name in ("e1", f"e2{_HALF_PAIR}", "e3", "e4", "e5"):
        standin.put("servers", name, _GOOD)
    listing = await client.list(kinds.ENDPOINTS)
    assert [i.name for i in listing.items] == ["e1", "e3", "e4", "e5"]
    assert {r.name for r in listing.refused} == {""}


def test_name_with_half_a_surrogate_pair_does_not_end_a_list():
    # Guards against a list that can not go on after a name it can not send.
    asyncio.run(_list_by_pages())


@with_client
async def _watch_odd_answers(standin, client):
    standin.put("servers", "e1", _GOOD)
    event = {"object": standin.objects["servers"]["e1"], "removed": False}
    events = [None, [], {}, {"object": 3}, event]
    answers = [{"events": events, "as_of": standin.revision}]

    async def watch(kind, query):
        return 200, answers[-1]

    standin._watch = watch
    await client.list(kinds.ENDPOINTS)
    revision = position.make(standin.era, 1)
    changes = await client.watch(kinds.ENDPOINTS, revision, 0.1)
    assert [c.name for c in changes.items if c.value is not None] == ["e1"]
    for odd in ({"events": events}, {"as_of": 3}, [], None):
        answers.append(odd)
        with pytest.raises(errors.ObjectUnavailableError):
            await client.watch(kinds.ENDPOINTS, revision, 0.1)


def test_odd_answer_of_the_store_ends_no_loop():
    # Guards against errors that the watcher does not expect.
    asyncio.run(_watch_odd_answers())


def test_object_that_fails_its_decoder_is_refused_alone():
    # Guards against an error of a decoder that ends the process.
    def fail(name, spec):
        raise RecursionError("too deep")

    kind = gateway_store.Kind("things", fail, fail)
    raw = {"metadata": {"name": "t1", "revision": 3}, "spec": {}}
    found = store._read_object(kind, raw, 0)
    assert (found.name, found.revision) == ("t1", 3)
    assert "RecursionError" in found.reason


def nest(depth):
    return "[" * depth + "]" * depth


# JSON texts that Python's parser or an encoder behind it can not take.
_ODD_TEXTS = (
    nest(1_200),
    nest(100_000),
    '{"a":' * 1_200 + "1" + "}" * 1_200,
    "9" * 5_000,
    "-" + "9" * 5_000,
    "9" * 30,
    "1e999",
    "-1",
    "NaN",
    "Infinity",
    '"\\ud83d"',
    '"\\udc31\\ud83d"',
    '"' + "x" * 100_000 + '"',
    '["\\ud83d"]',
    '[{"name": "\\ud83d"}]',
    '{"in_memory": ["\\ud83d"]}',
    "null",
)
_FIELD_TEXTS = strategies.sampled_from(_ODD_TEXTS) | _VALUES.map(json.dumps)


def format_entry(changes):
    """Returns the JSON text of an entry, with JSON texts for some fields."""
    texts = {name: json.dumps(value) for name, value in _GOOD.items()} | changes
    return "{" + ",".join(f'"{n}":{t}' for n, t in texts.items()) + "}"


_ODD_ENTRIES = strategies.dictionaries(
    strategies.sampled_from([*_GOOD, "born", "at_hand", "unheard-of"]),
    _FIELD_TEXTS,
    min_size=1,
    max_size=3,
).map(format_entry)


@with_client
async def _read_beside(standin, client, entries):
    """Reads a good entry before and one after each of some odd ones."""
    revision = (await client.list(kinds.ENDPOINTS)).revision
    good = {f"e{n}" for n in range(len(entries) + 1)}
    for name in good:
        standin.put("servers", name, _GOOD)
    for number, entry in enumerate(entries):
        standin.put_text("servers", f"e{number}-odd", entry)
    listing = await client.list(kinds.ENDPOINTS)
    seen = [i.value for i in listing.items]
    assert good <= {e.name for e in seen}
    assert len(seen) + len(listing.refused) == 2 * len(entries) + 1
    changes = await client.watch(kinds.ENDPOINTS, revision, 0.1)
    seen += [c.value for c in changes.items if c.value is not None]
    assert good <= {c.name for c in changes.items if c.value is not None}
    listed = tuple(facts.Listed.of(e) for e in seen)
    told = datagrams.decode(datagrams.encode(facts.Changes(1, 2, 3, listed)))
    assert told.listed == listed


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(strategies.lists(_ODD_ENTRIES, max_size=4))
def test_good_entries_beside_odd_ones_are_seen_and_announced(entries):
    # Guards against one entry that hides others, or that no message can carry.
    asyncio.run(_read_beside(entries))


@pytest.mark.parametrize("text", _ODD_TEXTS)
def test_entry_that_can_not_be_parsed_hides_no_other(text):
    # Guards against a page of the list that is lost for one value in it.
    asyncio.run(_read_beside([text, format_entry({"unheard-of": text})]))


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(["seq", "busy", "models", "coming", "born"]),
        _FIELD_TEXTS,
        max_size=3,
    )
)
def test_odd_report_raises_only_its_own_error(changes):
    good = {"seq": "3", "busy": "false", "models": "[]"}
    text = ",".join(f'"{n}":{t}' for n, t in {**good, **changes}.items())
    try:
        decoding.decode_state(documents.parse(f"{{{text}}}".encode()))
    except errors.EndpointError:
        pass


@harness.run
async def test_report_that_can_not_be_parsed_is_a_failed_report(system):
    # Guards against an error that ends the task which asks for reports.
    engine = await system.add("e1", "models")
    endpoint = system.gateway.view.tracked["e1"].endpoint
    for text in (nest(1_200), "[" * 5_000, "9" * 5_000):
        engine.report_text = text
        with pytest.raises(errors.EndpointError):
            await engines.PlatformEngines().report(endpoint)


@harness.run
async def test_nested_values_and_long_integers_stop_no_gateway(system):
    # Guards against the end of every gateway that reads such an entry.
    await system.join("g2")
    for number, text in enumerate(_ODD_TEXTS):
        system.store.put_text("servers", f"odd-{number}", text)
        entry = format_entry({"models": text, "unheard-of": text})
        system.store.put_text("servers", f"odder-{number}", entry)
    await system.add("e1", "plain")
    assert (await system.ask("/get/a")).status == 200
    assert all(g.is_ready() for g in system._tasks)
    third = await system.join("g3")
    assert "e1" in third.view.tracked


def test_invalid_bytes_do_not_affect_other_fields():
    good = json.dumps({"metadata": {"name": "e1"}, "spec": "\u0001"}).encode()
    found = documents.parse(good.replace(b"\\u0001", b"\x01\xff\xc3"))
    assert found["metadata"] == {"name": "e1"}


@harness.run
async def test_malformed_entries_remove_no_engine(system):
    await system.add("e1", "plain")
    await system.add("e2", "plain")
    system.store.put("servers", "bad", {"service": 3})
    address = system.store.objects["servers"]["e1"]["spec"]["address"]
    # A valid entry with the address of an engine replaces that engine.
    system.store.put(
        "servers", "odd", platform_site.entry("unheard-of", address)
    )
    await system.add("e3", "plain")
    assert {"e1", "e2", "e3"} <= set(system.gateway.view.tracked)
    assert "bad" not in system.gateway.view.tracked
    assert (await system.ask("/get/a")).status == 200
    metrics = system.gateway.metrics
    assert metrics.value("refused_objects", kind="servers", field="service") > 0


@harness.run
async def test_half_a_surrogate_pair_in_an_entry_stops_no_gateway(system):
    # Guards against the end of every gateway that announces such an entry.
    await system.join("g2")
    for number, (field, value) in enumerate(_WRONG):
        spec = {**_GOOD, field: value}
        system.store.put("servers", f"odd-{number}", spec)
        system.store.put("servers", f"odd-{_HALF_PAIR}-{number}", _GOOD)
    await system.add("e1", "plain")
    assert all(g.is_ready() for g in system._tasks)
    assert set(system.gateway.view.tracked) == {"e1"}
    assert (await system.ask("/get/a")).status == 200


@harness.run
async def test_malformed_overwrite_removes_the_engine(system):
    await system.add("e1", "plain")
    good = system.store.objects["servers"]["e1"]["spec"]
    system.store.put("servers", "e1", {**good, "slots": "many"})
    await system.until(lambda: "e1" not in system.gateway.view.tracked)
    system.store.put("servers", "e1", {**good, "seq": 99})
    await system.until(lambda: "e1" in system.gateway.view.tracked)


@harness.run
async def test_unreadable_configuration_does_not_block_the_next(system):
    bad = {"version": 2, "routes": [{}], "services": []}
    system.store.put("config", "main", bad)
    await asyncio.sleep(0.1)
    assert system.gateway.holder.version == 1
    system.store.put("config", "main", platform_site.manifest(3))
    await system.until(lambda: system.gateway.holder.version == 3)
    assert system.gateway._configuration_sync.watcher.lost_since is None
