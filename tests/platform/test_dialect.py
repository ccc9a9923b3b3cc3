import dataclasses

import pytest

from wayslip.decisions import fleet
from wayslip.decisions import organisations
from wayslip.gateway import dialect
from wayslip.http1 import messages
from wayslip.platform import dialect as platform_dialect

DIALECT = platform_dialect.PlatformDialect()


def request(**headers):
    pairs = [(b"host", b"Shop.Example:80")]
    pairs += [
        (k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()
    ]
    return messages.Request(b"POST", b"/a/b?c=1", tuple(pairs), b"body", True)


def head(status=200, **headers):
    pairs = tuple(
        (k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()
    )
    return messages.Head(status, pairs, True, 0, True)


def test_traits_are_read():
    traits = DIALECT.read_request(
        request(
            wayslip_request_id="r1",
            wayslip_deadline_ms="2500",
            wayslip_model="m1/a2",
            wayslip_token_count="1460,80",
            wayslip_prompt_prefix="5c:800,91:410,zz",
            last_event_id="4",
        )
    )
    assert traits.host == "shop.example"
    assert traits.path == "/a/b"
    assert traits.deadline == 2.5
    assert (traits.model, traits.adapter) == ("m1", "a2")
    assert (traits.prompt_tokens, traits.output_tokens) == (1460, 80)
    assert traits.parts == (
        dialect.PromptPart("5c", 800),
        dialect.PromptPart("91", 410),
    )
    assert traits.last_event_id == "4"


@pytest.mark.parametrize("digits", [16, 400, 5_000])
def test_numbers_that_are_too_long_are_not_read(digits):
    # Guards against arithmetic that fails for every request to an endpoint
    # which states such a load, and for the client's own request.
    long = "9" * digits
    traits = DIALECT.read_request(
        request(
            wayslip_request_id="r1",
            wayslip_deadline_ms=long,
            wayslip_token_count=f"{long},{long}",
            wayslip_prompt_prefix=f"5c:800,91:{long}",
        )
    )
    assert traits.deadline is None
    assert (traits.prompt_tokens, traits.output_tokens) == (0, 0)
    assert traits.parts == (dialect.PromptPart("5c", 800),)
    answer = DIALECT.read_answer(head(wayslip_server_load=f"{long},0,8"))
    assert answer.load is None


def test_request_without_an_id_has_no_traits():
    assert DIALECT.read_request(request()) is None


def test_request_is_formatted_for_one_endpoint():
    parameters = dialect.SendParameters("i-7", 1.25, 2, "9")
    data = DIALECT.format_request(
        request(
            wayslip_request_id="r1",
            wayslip_deadline_ms="2500",
            wayslip_target_instance="forged",
            connection="x-hop",
            x_hop="1",
            x_kept="2",
            content_length="4",
        ),
        parameters,
    )
    text, _, body = data.partition(b"\r\n\r\n")
    lines = text.split(b"\r\n")
    assert lines[0] == b"POST /a/b?c=1 HTTP/1.1"
    assert b"wayslip-deadline-ms: 1250" in lines
    assert b"wayslip-target-instance: i-7" in lines
    assert b"wayslip-request-priority: 2" in lines
    assert b"last-event-id: 9" in lines
    assert b"x-kept: 2" in lines
    assert b"content-length: 4" in lines
    assert not any(b"forged" in x or b"x-hop" in x for x in lines)
    assert body == b"body"


def test_reserved_headers_of_clients_are_removed():
    data = DIALECT.format_request(
        request(
            wayslip_request_id="r1",
            wayslip_model="m1",
            wayslip_token_count="10,5",
            wayslip_prompt_prefix="5c:10",
            wayslip_length_hint="7",
            wayslip_hold="h1",
            wayslip_pin_ms="4000",
            wayslip_kv_backup="10.0.0.1:80",
            wayslip_expect_version="3",
            wayslip_of_tomorrow="x",
            kv_from="10.0.0.1:80/9",
            kv_fetch="10.0.0.1:80",
            x_kept="2",
        ),
        dialect.SendParameters("i-7", 1.0, 2),
    )
    names = {line.partition(b":")[0] for line in data.split(b"\r\n")[1:]}
    assert names >= {
        b"wayslip-request-id",
        b"wayslip-model",
        b"wayslip-token-count",
        b"wayslip-prompt-prefix",
        b"wayslip-length-hint",
        b"x-kept",
    }
    assert not names & {
        b"wayslip-hold",
        b"wayslip-pin-ms",
        b"wayslip-kv-backup",
        b"wayslip-expect-version",
        b"wayslip-of-tomorrow",
        b"kv-from",
        b"kv-fetch",
    }


def test_answers_are_matched_by_id():
    fresh = DIALECT.match_answer("r1", is_reused=False)
    reused = DIALECT.match_answer("r1", is_reused=True)
    assert fresh(head(wayslip_request_id="r1"))
    assert not fresh(head(wayslip_request_id="r0"))
    assert fresh(head())
    # On a reused connection it may answer an earlier request.
    assert not reused(head())


def test_answer_is_read():
    answer = DIALECT.read_answer(
        head(
            wayslip_server_seal="s",
            wayslip_server_load="3,1,8",
            content_type="text/event-stream; charset=utf-8",
        )
    )
    assert answer.is_genuine and answer.is_stream and not answer.is_refusal
    assert answer.load == fleet.Load(3, 1, 8)


@pytest.mark.parametrize(
    ("text", "slowdown"),
    [
        ("3,1,8", None),
        ("3,1,8,170", 1.7),
        ("3, 1, 8, 70", 0.7),
        ("3,1,8,70,later", 0.7),
        ("3,1,8,", None),
        ("3,1,8,fast", None),
        ("3,1,8,-70", None),
        ("3,1,8,0", None),
        ("3,1,8,999999999999", None),
    ],
)
def test_bad_time_factor_leaves_the_rest_of_the_load(text, slowdown):
    answer = DIALECT.read_answer(head(wayslip_server_load=text))
    assert answer.load == fleet.Load(3, 1, 8, slowdown)


def test_refusals_are_distinguished_from_failures():
    assert DIALECT.read_answer(head(503, wayslip_not_executed="1")).is_refusal
    misdirected = DIALECT.read_answer(head(421))
    assert misdirected.is_refusal and misdirected.is_misdirected
    assert not DIALECT.read_answer(head(503)).is_refusal


@pytest.mark.parametrize(
    "name",
    [
        b"wayslip-tenant",
        b"wayslip_tenant",
        b"wayslip-key",
        b"wayslip_key",
        b"wayslip-target_instance",
        b"kv_from",
    ],
)
def test_no_spelling_of_a_reserved_header_passes(name):
    asked = request(wayslip_request_id="r1", wayslip_key="secret-1")
    forged = dataclasses.replace(
        asked, headers=(*asked.headers, (name, b"forged"))
    )
    parameters = dialect.SendParameters("i-7", 1.0, 0, organisation="shop")
    data = DIALECT.format_request(forged, parameters).lower()
    assert b"forged" not in data and b"secret-1" not in data
    assert data.count(b"wayslip-tenant: shop\r\n") == 1


def test_key_is_read_as_its_digest():
    traits = DIALECT.read_request(
        request(wayslip_request_id="r1", wayslip_key="secret-1")
    )
    assert traits.key == organisations.hash_key(b"secret-1")
    assert "secret-1" not in repr(traits)
    assert DIALECT.read_request(request(wayslip_request_id="r1")).key is None


def test_differing_keys_match_no_caller():
    asked = request(wayslip_request_id="r1", wayslip_key="secret-1")
    twice = dataclasses.replace(
        asked, headers=(*asked.headers, (b"wayslip-key", b"secret-2"))
    )
    assert DIALECT.read_request(twice).key not in {
        None,
        organisations.hash_key(b"secret-1"),
        organisations.hash_key(b"secret-2"),
    }
    same = dataclasses.replace(
        asked, headers=(*asked.headers, (b"wayslip-key", b"secret-1"))
    )
    found = DIALECT.read_request(same).key
    assert found == organisations.hash_key(b"secret-1")


def test_leaving_notice_is_read():
    assert DIALECT.read_answer(head(server_leaving="1")).is_leaving
    assert not DIALECT.read_answer(head(server_leaving="0")).is_leaving
    assert not DIALECT.read_answer(head()).is_leaving


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        ("0.25", 0.25),
        ("0", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("soon", None),
        ("Wed, 21 Oct 2026 07:28:00 GMT", None),
        ("7200", 3600.0),
    ],
)
def test_backoff_is_read_and_bounded(text, seconds):
    answer = DIALECT.read_answer(
        head(503, wayslip_not_executed="1", retry_after=text)
    )
    assert answer.backoff == seconds


def test_backoff_is_read_from_refusals_only():
    assert DIALECT.read_answer(head(503, retry_after="3")).backoff is None
    refusal = head(429, wayslip_not_executed="1", retry_after="3")
    assert DIALECT.read_answer(refusal).backoff is None


@pytest.mark.parametrize(
    ("text", "limit"),
    [
        ("1.1", 1.1),
        (" 3 ", 3.0),
        ("0", 0.0),
        ("", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("soon", None),
    ],
)
def test_limit_is_read_from_answers_of_any_status(text, limit):
    for status in (200, 503):
        answer = DIALECT.read_answer(head(status, server_limit=text))
        assert answer.limit == limit


@pytest.mark.parametrize(
    ("text", "allowed"),
    [("2", 2), ("0", 0), (" 1 ", 1), ("", None), ("-1", None), ("x", None)],
)
def test_brittle_endpoints_are_read_from_answers(text, allowed):
    for status in (200, 503):
        answer = DIALECT.read_answer(head(status, server_brittle=text))
        assert answer.brittle == allowed
