"""Callers' requests, valid and invalid, through a complete system."""

import json
import socket

import pytest

from tests import system as system_module
from wayslip import addresses

TEXT = system_module.expected_text("m@v1", "12 Salt Lake", 20)


def test_completion_is_returned_in_full(system):
    reply = system.complete()
    assert reply.status == 200
    assert reply.outcome == "ran"
    expected = system_module.expected_text("m@v1", "12 Salt Lake", 4)
    assert reply.json["choices"][0]["text"] == expected


def test_chat_completion_by_adapter(system):
    body = {
        "model": "m-a",
        "messages": [{"role": "user", "content": "x"}],
        "max_tokens": 3,
    }
    address = system.callers_port(1)
    reply = system_module.call(address, "POST", "/v1/chat/completions", body)
    assert reply.status == 200
    assert reply.json["model"] == "m-a"


def test_stream_is_complete(system):
    stream = system.stream().read_all()
    assert stream.text == TEXT
    assert stream.is_done


def test_models_are_listed(system):
    address = system.callers_port()
    reply = system_module.call(address, "GET", "/v1/models")
    names = [row["id"] for row in reply.json["data"]]
    assert names == ["m", "m-a", "m@v1", "n", "n@v1"]


def test_broken_engine_stream_resumes_without_duplicates(system):
    for engine in system.engines.values():
        engine.cut_streams_after = 7
    stream = system.stream().read_all()
    for engine in system.engines.values():
        engine.cut_streams_after = 0
    assert stream.text == TEXT
    assert stream.is_done


def test_caller_resumes_stream_through_another_entry(system):
    first = system.stream(0)
    for _ in range(5):
        assert first.read_event()
    first.conn.close()
    rest = system.stream(1, headers={"Last_Event_ID": first.last_id})
    rest.read_all()
    assert first.text + rest.text == TEXT
    assert rest.is_done


def test_event_id_of_another_caller_is_refused(system):
    first = system.stream(0).read_all()
    stolen = system.stream(
        1, key=system_module.BOB, headers={"Last_Event_ID": first.last_id}
    )
    assert stolen.response.status == 400


@pytest.mark.parametrize("text", ["x", "x.1", ".", "a.b.c.9", "é.1", "x.-1"])
def test_forged_event_id_is_refused(system, text):
    stream = system.stream(0, headers={"Last_Event_ID": text})
    assert stream.response.status == 400
    assert stream.response.headers["Wayslip-Outcome"] == "not-run"


def test_caller_disconnect_cancels_engine_stream(system):
    stream = system.stream(max_tokens=100_000)
    assert stream.read_event()
    stream.response.close()
    stream.conn.close()
    system_module.wait_until(
        lambda: all(not e._running for e in system.engines.values()),
        "no engine generates",
    )


@pytest.mark.parametrize(
    ("body", "status", "fragment"),
    [
        (b"{", 400, "JSON"),
        (b"[]", 400, "object"),
        (b"{}", 400, "model"),
        (json.dumps({"model": "m"}).encode(), 400, "prompt"),
        (json.dumps({"model": "none", "prompt": "x"}).encode(), 404, "models"),
        (b'{"x": "' + b"y" * 5_000_000 + b'"}', 413, ""),
    ],
)
def test_bad_body_gets_specific_error(system, body, status, fragment):
    try:
        reply = system_module.call(
            system.callers_port(), "POST", "/v1/completions", body
        )
    except (BrokenPipeError, ConnectionResetError):
        # The server may close the connection before the whole body is sent.
        assert status == 413
        return
    assert reply.status == status
    assert reply.outcome == "not-run"
    assert fragment in reply.json["error"]["message"]


def test_unknown_key_is_refused(system):
    reply = system_module.call(
        system.callers_port(), "GET", "/v1/models", key="nobody-has-this-key"
    )
    assert reply.status == 401
    assert reply.outcome == "not-run"


def test_bad_headers_are_refused(system):
    reply = system.complete()
    assert reply.status == 200
    body = {"model": "m", "prompt": "x"}
    for headers in (
        {"Wayslip_Deadline": "soon"},
        {"Wayslip_Deadline": "-1"},
        {"Idempotency_Key": "with blank"},
    ):
        reply = system_module.call(
            system.callers_port(), "POST", "/v1/completions", body, **headers
        )
        assert reply.status == 400
        assert reply.outcome == "not-run"


def _send_raw(address, *parts):
    with socket.create_connection(
        addresses.split_address(address), timeout=40
    ) as conn:
        for part in parts:
            conn.sendall(part)
        answer = b""
        while data := conn.recv(65536):
            answer += data
    return answer


def test_oversized_head_is_refused(system):
    head = b"GET /v1/models HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 40_000
    answer = _send_raw(system.callers_port(), head + b"\r\n\r\n")
    assert b" 413 " in answer.split(b"\r\n")[0]
    assert b"Wayslip-Outcome: not-run" in answer


def test_method_of_other_characters_is_refused(system):
    # Guards against a 500 that leaves open whether the request ran.
    head = "GÉT /v1/models HTTP/1.1\r\nHost: x\r\n"
    head += f"Authorization: Bearer {system_module.ALICE}\r\n\r\n"
    answer = _send_raw(system.callers_port(), head.encode("latin-1"))
    assert answer.split(b" ")[1] in (b"400", b"404", b"405")
    assert b"Wayslip-Outcome: not-run" in answer


def test_malformed_head_is_refused(system):
    answer = _send_raw(system.callers_port(), b"GARBAGE\r\n\r\n")
    assert b" 400 " in answer.split(b"\r\n")[0]
    assert b"Wayslip-Outcome: not-run" in answer


@pytest.mark.parametrize(
    "prompt", ["[" * 1_200 + "]" * 1_200, "9" * 5_000, "[" * 9]
)
def test_body_that_can_not_be_parsed_is_refused(system, prompt):
    # Guards against a 500 that leaves open whether the request ran.
    body = f'{{"model": "m", "prompt": {prompt}}}'.encode()
    address = system.callers_port()
    reply = system_module.call(address, "POST", "/v1/completions", body)
    assert reply.status == 400
    assert reply.outcome == "not-run"


def test_prompt_with_half_a_surrogate_pair_is_served(system):
    # Guards against a prompt whose hash can not be computed.
    body = {"model": "m", "prompt": "\ud83d" * 2_000, "max_tokens": 3}
    address = system.callers_port()
    reply = system_module.call(address, "POST", "/v1/completions", body)
    assert reply.status == 200


def test_slow_sender_is_disconnected():
    sections = {"limits": {"worker_threads": 4, "idle_seconds": 1}}
    with system_module.System(1, engines=1, sections=sections) as slow:
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n"
            f"Authorization: Bearer {system_module.ALICE}\r\n\r\n"
        )
        answer = _send_raw(slow.callers_port(), head.encode(), b"{")
        assert b"Wayslip-Outcome: not-run" in answer
