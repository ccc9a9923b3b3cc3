"""Bytes that are no answer come without end until the gateway closes."""

import asyncio

import pytest

from standins import platform_engine
from tests.gateway import harness
from tests.gateway import test_requests
from wayslip.http1 import framing
from wayslip.platform import engines

_PART = b"y" * 8000
# What an engine may send before the connection is closed: the largest limit,
# what the sockets buffer, and a part that is read at once.
_MAX_SENT_BYTES = framing.MAX_SKIPPED_BYTES + 8 * 1024 * 1024
_HEAD = b"HTTP/1.1 200 OK\r\n"


def _chunked(request_id, **headers):
    return platform_engine.format_answer(
        request_id,
        b"",
        Content_Length="",
        Transfer_Encoding="chunked",
        **headers,
    )


# What an engine sends first and then without end.
_PATTERNS = {
    "no HTTP": lambda r: (b"", _PART),
    "a header's value": lambda r: (_HEAD + b"x: ", _PART),
    "header lines": lambda r: (_HEAD, b"x: " + _PART + b"\r\n"),
    "interim answers": lambda r: (b"", b"HTTP/1.1 102 Wait\r\n\r\n" * 300),
    "trailers": lambda r: (
        _chunked(r.id) + b"2\r\nok\r\n0\r\n",
        b"x: " + _PART + b"\r\n",
    ),
    "a chunk's extension": lambda r: (_chunked(r.id) + b"2;x=", _PART),
    "chunks' extensions": lambda r: (
        _chunked(r.id),
        b"1;x=" + _PART + b"\r\nz\r\n",
    ),
    "a body of another request": lambda r: (
        platform_engine.format_answer("other", b"", Content_Length=str(10**12)),
        _PART,
    ),
    "chunks of another request": lambda r: (
        _chunked("other"),
        test_requests.chunk(_PART),
    ),
    "answers to other requests": lambda r: (
        b"",
        platform_engine.format_answer("other", _PART),
    ),
    "a refusal's body": lambda r: (
        platform_engine.format_answer(
            r.id,
            b"",
            503,
            Content_Length=str(10**12),
            Wayslip_Not_Executed="1",
        ),
        _PART,
    ),
    "an event": lambda r: (
        _chunked(r.id, Content_Type="text/event-stream"),
        test_requests.chunk(_PART),
    ),
}


class _Sender:
    """Sends a pattern until the connection is closed, and counts the bytes."""

    def __init__(self, pattern):
        self.pattern = pattern
        # On the present connection.
        self.sent = 0
        self.is_closed = False

    async def send(self, engine, request, line):
        first, part = self.pattern(request)
        self.sent = 0
        try:
            await line.write(first)
            while self.sent < 100 * _MAX_SENT_BYTES:
                await line.write(part)
                self.sent += len(part)
        except ConnectionError:
            self.is_closed = True
            raise


@pytest.mark.parametrize("name", _PATTERNS)
def test_endless_bytes_are_cut_off_and_others_served(name, caplog):
    sender = _Sender(_PATTERNS[name])

    async def body(system):
        path = "/live/a" if name == "an event" else "/once/a"
        service = "models" if name == "an event" else "plain"
        await system.add("e1", service, ["m1"], sender.send)
        if service == "models":
            await system.add("e2", "plain")
        fields = {"Wayslip_Model": "m1"} if service == "models" else {}
        asked = asyncio.create_task(
            system.ask(path, method="POST", body=b"{}", **fields)
        )
        answer = await asked
        assert answer.status in (502, 503)
        await system.until(lambda: sender.is_closed)
        assert sender.sent <= _MAX_SENT_BYTES
        if service == "models":
            assert (await system.ask("/get/a", "r2")).status == 200

    caplog.set_level("INFO")
    harness.run(body)()
    logged = [
        str(getattr(r, "fields", {}))
        for r in caplog.records
        if r.msg in ("attempt_unclear", "refusal_not_read")
    ]
    is_named = any(
        word in line
        for line in logged
        for word in ("exceed", "too long", "not valid HTTP")
    )
    assert is_named, logged


@pytest.mark.parametrize("target", ["/wayslip/report", "/wayslip/order"])
def test_endless_answer_to_a_report_or_an_order_is_cut_off(target):
    sender = _Sender(
        lambda r: (
            platform_engine.format_answer(
                r.id, b"", Content_Length=str(10**12)
            ),
            _PART,
        )
    )

    async def body(system):
        engine = await system.add(
            "e1", "models", ["m1"], test_requests.stream_whole
        )
        respond = engine._respond

        async def respond_without_end(request, line):
            if request.target == target:
                await sender.send(engine, request, line)
            else:
                await respond(request, line)

        engine._respond = respond_without_end
        answers = await asyncio.gather(
            *(
                system.ask("/gen/a", f"r{n}", method="POST", Wayslip_Model="m2")
                for n in range(3)
            )
        )
        assert {a.status for a in answers} <= {200, 503}
        await system.until(lambda: sender.is_closed)
        assert sender.sent <= engines._MAX_REPORT_BYTES + _MAX_SENT_BYTES
        answer = await system.ask(
            "/gen/a", "r9", method="POST", Wayslip_Model="m1"
        )
        assert answer.status == 200

    harness.run(body)()
