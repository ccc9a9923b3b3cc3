"""Clients of the gateways that check every answer."""

import asyncio
import dataclasses
import math
import random
import time

from soak import streams
from soak import world as world_module
from standins import platform_client
from standins import platform_engine

# Statuses that report that the request has not run and will not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_DEADLINE_MS = 3000
# Requests whose ids begin with these must run at most once.
_AT_MOST_ONCE_PREFIXES = ("once-", "live-")
# A client opens a new connection after at most this many requests.
_MAX_REQUESTS_PER_CONNECTION = 20
_ANSWER_TIMEOUT_SECONDS = 8.0
# Share of the requests of a client with a broken stream that take it up, and
# how often it does. One client in four goes on until it has the whole stream.
_TAKE_UP_SHARE = 0.7
_MAX_TAKE_UPS = 3
_PERSISTENT_CLIENTS = 4


@dataclasses.dataclass
class Tally:
    """Outcomes of the clients' requests.

    Attributes:
        served: Number of requests answered completely with success, by kind.
        sent: Number of all requests, by kind.
        reported_not_run: Non-idempotent requests that the gateway reported as
            not run.
        newest_served: The newest configuration version whose route was
            served, by name of the gateway and start time of its process.
        served_at: When a request was last served, in monotonic seconds.
        taken_up: Outcomes of requests that take a stream up, by status.
    """

    served: dict[str, int] = dataclasses.field(default_factory=dict)
    sent: dict[str, int] = dataclasses.field(default_factory=dict)
    reported_not_run: set[str] = dataclasses.field(default_factory=set)
    newest_served: dict[tuple[str, float], int] = dataclasses.field(
        default_factory=dict
    )
    served_at: float = 0.0
    taken_up: dict[int, int] = dataclasses.field(default_factory=dict)


class Client:
    """A client that sends requests over persistent connections."""

    def __init__(
        self, world: world_module.World, tally: Tally, number: int, seed: int
    ) -> None:
        self._world = world
        self._oracle = world.oracle
        self._tally = tally
        self._name = f"c{number}"
        self._rng = random.Random(f"{seed}-{number}")
        self._headers = world.conditions.make_headers(number)
        self._sent = 0
        is_persistent = number % _PERSISTENT_CLIENTS == _PERSISTENT_CLIENTS - 1
        self._max_take_ups = math.inf if is_persistent else _MAX_TAKE_UPS
        # A stream that broke off, with its model, and how often it may still be
        # taken up.
        self._broken: tuple[streams.Stream, str] | None = None
        self._tries_left = 0.0

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        while True:
            gateway = self._rng.choice(self._world.gateways)
            try:
                await self._use_connection(gateway)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(0.1)

    async def _use_connection(self, gateway: world_module.Gateway) -> None:
        host, _, port = gateway.callers.rpartition(":")
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
        client = platform_client.Client(reader, writer)
        try:
            for _ in range(self._rng.randint(1, _MAX_REQUESTS_PER_CONNECTION)):
                if not await self._send_request(client, gateway):
                    return
                await asyncio.sleep(self._rng.uniform(0, 0.1))
        finally:
            client.close()

    async def _send_request(
        self, client: platform_client.Client, gateway: world_module.Gateway
    ) -> bool:
        """Sends a request; returns whether the connection is reusable."""
        self._sent += 1
        kind = self._rng.choice(["get", "once", "gen", "live", "version"])
        if self._broken is not None and self._rng.random() < _TAKE_UP_SHARE:
            kind = "gen"
        request = f"{kind}-{self._name}-{self._sent}"
        tally = self._tally
        tally.sent[kind] = tally.sent.get(kind, 0) + 1
        version = self._rng.randint(2, max(self._world.version - 1, 2))
        path = f"/v{version}/a" if kind == "version" else f"/{kind}/a"
        model = f"m{self._rng.randint(1, 3)}"
        if self._rng.random() < 0.3:
            model += f"/a{self._rng.randint(1, 4)}"
        started = gateway.started
        stream, model = self._choose_stream(kind, model)
        async with asyncio.timeout(_ANSWER_TIMEOUT_SECONDS):
            if kind in ("gen", "live"):
                await client.send(
                    path,
                    request,
                    "POST",
                    b"prompt",
                    _DEADLINE_MS,
                    Wayslip_Model=model,
                    Wayslip_Token_Count="400,20",
                    **stream.make_headers(),
                    **self._headers,
                )
            elif kind == "once":
                await client.send(
                    path,
                    request,
                    "POST",
                    b"x",
                    _DEADLINE_MS,
                    **self._headers,
                )
            else:
                await client.send(
                    path, request, "GET", b"", _DEADLINE_MS, **self._headers
                )
            answer = await client.read()
        self._check(kind, request, answer, stream)
        if kind == "gen":
            self._keep_broken(stream, model, answer)
        if kind == "version":
            self._check_version(gateway, started, version, answer)
        is_last = answer.headers.get("connection", "").lower() == "close"
        return answer.is_whole and not is_last

    def _choose_stream(
        self, kind: str, model: str
    ) -> tuple[streams.Stream, str]:
        """Returns the stream to ask for and its model.

        One that broke off is taken up.
        """
        if kind != "gen" or self._broken is None:
            return streams.Stream(self._oracle), model
        return self._broken

    def _keep_broken(
        self,
        stream: streams.Stream,
        model: str,
        answer: platform_client.Answer,
    ) -> None:
        """Keeps a stream that broke off, to take it up with a later request."""
        if self._broken is not None:
            taken_up = self._tally.taken_up
            taken_up[answer.status] = taken_up.get(answer.status, 0) + 1
            self._tries_left -= 1
        else:
            self._tries_left = self._max_take_ups
        is_over = stream.is_whole or not stream.id or not self._tries_left
        self._broken = None if is_over else (stream, model)

    def _check(
        self,
        kind: str,
        request: str,
        answer: platform_client.Answer,
        stream: streams.Stream,
    ) -> None:
        if kind == "once" and answer.status in _NOT_RUN_STATUSES:
            self._tally.reported_not_run.add(request)
        if not 200 <= answer.status < 300:
            return
        if kind in ("gen", "live"):
            stream.take(request, answer)
        if not answer.is_whole:
            return
        if answer.headers.get("wayslip-server-seal") != platform_engine.SEAL:
            self._oracle.report_violation(f"MIXED {request} without the seal")
        expected = f"whole {request}".encode()
        if kind not in ("gen", "live") and answer.body != expected:
            self._oracle.report_violation(
                f"MIXED {request} got {answer.body!r:.80}"
            )
        served = self._tally.served
        served[kind] = served.get(kind, 0) + 1
        self._tally.served_at = time.monotonic()

    def _check_version(
        self,
        gateway: world_module.Gateway,
        started: float,
        version: int,
        answer: platform_client.Answer,
    ) -> None:
        if gateway.started != started:
            return
        key = (gateway.name, started)
        newest = self._tally.newest_served.get(key, 0)
        if answer.status == 200:
            self._tally.newest_served[key] = max(newest, version)
        elif answer.status == 404 and version <= newest:
            self._oracle.report_violation(
                f"CONFIG {gateway.name} fell back below {version}"
            )


def check_runs(world: world_module.World, tally: Tally) -> None:
    """Checks how often requests ran, after all clients have stopped."""
    for request, runs in world.oracle.runs.items():
        if runs > 1 and request.startswith(_AT_MOST_ONCE_PREFIXES):
            world.oracle.report_violation(f"TWICE {request} ran {runs} times")
        if request in tally.reported_not_run:
            world.oracle.report_violation(
                f"REFUSED {request} ran but was reported as not run"
            )
