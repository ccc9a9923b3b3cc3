import asyncio
from unittest import mock

from standins import platform_engine
from tests.gateway import harness
from wayslip.decisions import backlog
from wayslip.gateway.serving import full_queues

EVENTS = [f"id: {n}\ndata: piece-{n}\n\n".encode() for n in range(1, 6)]
STREAM = {"Content_Type": "text/event-stream"}


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_head(request):
    return platform_engine.format_answer(
        request.id,
        b"",
        Content_Length="",
        Transfer_Encoding="chunked",
        **STREAM,
    )


async def stream_whole(engine, request, line):
    after = int(request.headers.get("last-event-id", 0))
    await line.write(stream_head(request))
    for event in EVENTS[after:]:
        await line.write(chunk(event))
    await line.write(b"0\r\n\r\n")


async def break_off_inside_event(engine, request, line):
    await line.write(stream_head(request))
    await line.write(chunk(EVENTS[0]) + chunk(EVENTS[1]))
    await line.write(chunk(EVENTS[2][:5]))
    await asyncio.sleep(0.05)
    line.reset()


async def reset(engine, request, line):
    line.reset()


async def refuse(engine, request, line):
    await line.answer(request, b"", 503, Wayslip_Not_Executed="1")


async def hang(engine, request, line):
    # The read returns as soon as the gateway closes the connection.
    await line.reader.read(1)
    raise ConnectionResetError


@harness.run
async def test_answer_is_forwarded_unchanged_with_its_seal(system):
    engine = await system.add("e1", "plain")
    answer = await system.ask("/get/a?x=1", "r9")
    assert (answer.status, answer.body) == (200, b"e1")
    assert answer.headers["wayslip-server-seal"] == platform_engine.SEAL
    received = engine.received[0]
    assert (received.method, received.target) == ("GET", "/get/a?x=1")
    assert received.headers["wayslip-target-instance"] == "e1"
    assert 0 < int(received.headers["wayslip-deadline-ms"]) <= 1500


@harness.run
async def test_body_and_headers_reach_the_endpoint(system):
    engine = await system.add("e1", "plain")
    await system.ask("/once/a", method="POST", body=b"x" * 5000, X_Trace="7")
    received = engine.received[0]
    assert received.body == b"x" * 5000
    assert received.headers["x-trace"] == "7"


@harness.run
async def test_no_route_is_404(system):
    answer = await system.ask("/nowhere/")
    assert answer.status == 404


@harness.run
async def test_idempotent_request_is_retried_at_another_endpoint(system):
    await system.add("e1", "plain", script=reset)
    await system.add("e2", "plain")
    for number in range(6):
        answer = await system.ask("/get/a", f"r{number}")
        assert (answer.status, answer.body) == (200, b"e2")


@harness.run
async def test_non_idempotent_request_runs_once_after_a_reset(system):
    first = await system.add("e1", "plain", script=reset)
    second = await system.add("e2", "plain", script=reset)
    answer = await system.ask("/once/a", method="POST", body=b"x")
    # It may have run, so it is neither retried nor reported as not run.
    assert answer.status == 502
    assert len(first.received) + len(second.received) == 1


@harness.run
async def test_refused_request_is_retried_at_another_endpoint(system):
    await system.add("e1", "plain", script=refuse)
    await system.add("e2", "plain")
    # Until the lease holder announces how many instances share the retry
    # budget, an instance assumes a share that three retries use up.
    await system.until(lambda: system.gateway._placement.instances == 1)
    for number in range(4):
        answer = await system.ask(
            "/once/a", f"r{number}", method="POST", body=b"x"
        )
        assert answer.status == 200


@harness.run
async def test_request_does_not_return_to_who_refused_it_first(system):
    refusing = await system.add("e1", "plain", script=refuse)
    await system.add("e2", "plain", zone="hall-2")
    await system.until(lambda: system.gateway._placement.instances == 1)
    # The time for which the queue counts as full is over at once.
    with (
        mock.patch.object(full_queues.FullQueues, "note", return_value=True),
        mock.patch.object(full_queues.FullQueues, "find_seconds", lambda *_: 0),
    ):
        for number in range(4):
            answer = await system.ask(
                "/once/a", f"r{number}", method="POST", body=b"x"
            )
            assert (answer.status, answer.body) == (200, b"e2")
    assert refusing.received


@harness.run
async def test_request_refused_by_all_endpoints_gets_a_retry_time(system):
    await system.add("e1", "plain", script=refuse)
    answer = await system.ask("/once/a", method="POST", body=b"x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert "wayslip-server-seal" not in answer.headers


@harness.run
async def test_no_endpoint_is_refused_at_once(system):
    began = asyncio.get_running_loop().time()
    answer = await system.ask("/get/a")
    assert answer.status == 503
    assert asyncio.get_running_loop().time() - began < 1.0


@harness.run
async def test_unsealed_success_is_not_forwarded(system):
    async def unsealed(engine, request, line):
        await line.answer(request, b"fake", Wayslip_Server_Seal="")

    await system.add("e1", "plain", script=unsealed)
    answer = await system.ask("/once/a", method="POST", body=b"x")
    assert answer.status == 502
    assert answer.body != b"fake"


@harness.run
async def test_answer_with_content_encoding_is_not_genuine(system):
    async def encoded(engine, request, line):
        await line.answer(request, b"odd", Content_Encoding="gzip")

    await system.add("e1", "plain", script=encoded)
    answer = await system.ask("/once/a", method="POST", body=b"x")
    assert answer.status == 502


@harness.run
async def test_endpoint_failure_is_forwarded_with_its_status(system):
    async def fail(engine, request, line):
        await line.answer(request, b"no", 500)

    await system.add("e1", "plain", script=fail)
    answer = await system.ask("/once/a", method="POST", body=b"x")
    assert (answer.status, answer.body) == (500, b"no")
    assert answer.headers["wayslip-server-seal"] == platform_engine.SEAL


@harness.run
async def test_surplus_answer_never_reaches_the_next_client(system):
    async def twice(engine, request, line):
        await line.answer(request, b"for " + request.id.encode())
        await asyncio.sleep(0.02)
        await line.answer(request, b"again " + request.id.encode())

    await system.add("e1", "plain", script=twice)
    for number in range(5):
        answer = await system.ask("/get/a", f"r{number}")
        assert answer.body == f"for r{number}".encode()


@harness.run
async def test_truncated_answer_is_not_forwarded_as_complete(system):
    async def truncate(engine, request, line):
        whole = platform_engine.format_answer(request.id, b"y" * 100)
        await line.write(whole[:-50])
        line.reset()

    await system.add("e1", "plain", script=truncate)
    answer = await system.ask("/once/a", method="POST", body=b"x")
    assert answer.status == 502


@harness.run
async def test_unframed_answer_ends_with_its_connection(system):
    async def unframed(engine, request, line):
        await line.write(
            platform_engine.format_answer(
                request.id, b"to the end", Content_Length=""
            )
        )
        line.writer.close()

    await system.add("e1", "plain", script=unframed)
    answer = await system.ask("/get/a")
    assert (answer.body, answer.is_whole) == (b"to the end", True)


@harness.run
async def test_answer_to_head_ends_with_its_head(system):
    async def head_only(engine, request, line):
        await line.answer(request, b"", Content_Length="70")

    await system.add("e1", "plain", script=head_only)
    client = await system.connect()
    for number in range(3):
        await client.send("/get/a", f"r{number}", "HEAD")
        async with asyncio.timeout(1.0):
            head = await client.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert b"content-length: 70\r\n" in head


@harness.run
async def test_route_timeout_is_answered_with_504(system):
    engine = await system.add("e1", "plain", script=hang)
    answer = await system.ask("/once/a", method="POST", body=b"x")
    assert answer.status == 504
    await system.until(lambda: engine.left == 1)


@harness.run
async def test_endpoint_connection_closes_when_the_client_disconnects(system):
    engine = await system.add("e1", "plain", script=hang)
    client = await system.connect()
    await client.send("/get/a", "r1")
    await system.until(lambda: engine.received)
    client.close()
    await system.until(lambda: engine.left == 1)


@harness.run
async def test_stream_is_resumed_after_the_last_whole_event(system):
    await system.add("e1", "models", ["m1"], break_off_inside_event)
    answer = await ask_stream(system, "/gen/a")
    assert not answer.is_whole
    await system.add("e2", "models", ["m1"], stream_whole)
    for number in range(4):
        answer = await ask_stream(system, "/gen/a", f"s{number}")
        assert answer.is_whole
        assert answer.body == b"".join(EVENTS)


@harness.run
async def test_stream_that_is_not_resumable_is_aborted(system):
    engine = await system.add("e1", "models", ["m1"], break_off_inside_event)
    other = await system.add("e2", "models", ["m2"], stream_whole)
    answer = await ask_stream(system, "/live/a")
    assert not answer.is_whole
    assert answer.body == EVENTS[0] + EVENTS[1]
    assert (len(engine.received), len(other.received)) == (1, 0)


@harness.run
async def test_stream_that_breaks_before_its_first_event_gets_a_status(system):
    async def head_only(engine, request, line):
        await line.write(stream_head(request))
        await asyncio.sleep(0.02)
        line.reset()

    await system.add("e1", "models", ["m1"], head_only)
    answer = await ask_stream(system, "/live/a")
    assert answer.status == 502


async def ask_stream(system, path, request_id="s0"):
    return await system.ask(
        path,
        request_id,
        method="POST",
        body=b"prompt",
        Wayslip_Model="m1",
        Wayslip_Token_Count="400,20",
        Wayslip_Prompt_Prefix="aa:300,bb:100",
    )


@harness.run
async def test_without_configuration_unknown_route_is_503(system):
    system.gateway.holder.manifest = None
    answer = await system.ask("/nowhere/")
    assert answer.status == 503


@harness.run
async def test_leaving_endpoint_gets_no_new_requests(system):
    engine = await system.add("e1", "plain")
    await system.add("e2", "plain")
    value = system.store.objects["servers"]["e1"]["spec"]
    system.store.put("servers", "e1", {**value, "state": "draining"})
    view = system.gateway.view
    await system.until(lambda: view.tracked["e1"].endpoint.is_leaving)
    for number in range(6):
        answer = await system.ask("/get/a", f"r{number}")
        assert answer.body == b"e2"
    assert not engine.received


@harness.run
async def test_misdirected_request_counts_as_not_run(system):
    async def elsewhere(engine, request, line):
        await line.answer(request, b"", 421, Wayslip_Server_Seal="")

    await system.add("e1", "plain", script=elsewhere)
    answer = await system.ask("/once/a", method="POST", body=b"x")
    assert answer.status == 503


@harness.run
async def test_planned_stop_finishes_requests_in_flight(system):
    release = asyncio.Event()

    async def slow(engine, request, line):
        await release.wait()
        await line.answer(request, b"late")

    engine = await system.add("e1", "plain", script=slow)
    asking = asyncio.create_task(system.ask("/get/a"))
    await system.until(lambda: engine.received)
    system.gateway._stopping.set()
    await system.until(lambda: not system.gateway.is_ready())
    await asyncio.sleep(0.2)
    release.set()
    answer = await asking
    assert (answer.status, answer.body) == (200, b"late")
    assert answer.headers["connection"] == "close"


@harness.run
async def test_request_that_would_be_late_is_refused_at_once(system):
    engine = await system.add("e1", "models", ["m1"], stream_whole)
    tracked = system.gateway.view.tracked["e1"]
    # The route's latency target is 0.8 s and its priority 1. Prompts of a
    # higher priority are waiting.
    tracked.unread = backlog.of_request(0, 3.0)
    answer = await ask_model(system, "r1")
    assert answer.status == 503
    assert 2.0 < float(answer.headers["retry-after"]) < 3.0
    assert not engine.received
    # Prompts of a lower priority don't delay it.
    tracked.unread = backlog.of_request(3, 3.0)
    assert (await ask_model(system, "r2")).status == 200


async def ask_model(system, request_id):
    return await system.ask(
        "/gen/a",
        request_id,
        method="POST",
        body=b"prompt",
        Wayslip_Model="m1",
        Wayslip_Token_Count="400,20",
    )
