"""Clients that occupy a server's memory: what each of them sends.

A client sends the parts of its pattern until the server closes the connection,
and then keeps it open. Names of patterns say what is sent.
"""

import asyncio
import contextlib

from standins import platform_site

_PIECE_BYTES = 8 * 1024
_READ_BYTES = 1024
# An announced length that no server accepts.
_HUGE_BYTES = 10**12
# What a client that sends without end sends at most, as a multiple of the
# limit for bodies.
_ENDLESS_FACTOR = 8
_QUEUED_REQUESTS = 17
_FILLER_LINE = b"a:\r\n"

PATTERNS = {}


def pattern(function):
    """Registers a pattern by its name."""
    PATTERNS[function.__name__] = function
    return function


class Target:
    """Where and how large the requests of a crowd are.

    Attributes:
        address: Host and port.
        head: First lines of each request, without those about its body.
        body_bytes: The server's limit for bodies.
        head_bytes: The server's limit for heads.
    """

    def __init__(self, address, head, body_bytes, head_bytes=0):
        self.address = address
        self.head = head
        self.body_bytes = body_bytes
        self.head_bytes = head_bytes

    def with_length(self, length):
        return self.head + b"Content-Length: %d\r\n\r\n" % length

    @property
    def chunked(self):
        return self.head + b"Transfer-Encoding: chunked\r\n\r\n"


def make_platform_head(path, model="", deadline=3000):
    """Returns the first lines of a request on the users' platform."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {platform_site.HOST}",
        "Wayslip-Request-Id: crowd",
        f"Wayslip-Deadline-Ms: {deadline}",
    ]
    if model:
        lines.append(f"Wayslip-Model: {model}")
    return "\r\n".join(lines).encode() + b"\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


@pattern
def whole_bodies(target):
    yield target.with_length(target.body_bytes) + b"x" * target.body_bytes


@pattern
def bodies_short_of_their_end(target):
    yield target.with_length(target.body_bytes)
    yield b"x" * (target.body_bytes - 1)


@pattern
def bodies_in_pieces_short_of_their_end(target):
    yield target.with_length(target.body_bytes)
    for _ in range(target.body_bytes // _PIECE_BYTES - 1):
        yield b"x" * _PIECE_BYTES
    yield b"x" * (_PIECE_BYTES - 1)


@pattern
def bodies_announced_far_over_the_limit(target):
    yield target.with_length(_HUGE_BYTES)
    for _ in range(_ENDLESS_FACTOR):
        yield b"x" * target.body_bytes


@pattern
def whole_bodies_over_the_limit(target):
    size = _ENDLESS_FACTOR * target.body_bytes
    yield target.with_length(size)
    for _ in range(_ENDLESS_FACTOR):
        yield b"x" * target.body_bytes


@pattern
def chunks_without_end(target):
    yield target.chunked
    for _ in range(_ENDLESS_FACTOR * target.body_bytes // _PIECE_BYTES):
        yield chunk(b"x" * _PIECE_BYTES)


@pattern
def large_chunks_short_of_their_end(target):
    yield target.chunked
    yield chunk(b"x" * target.body_bytes)[:-3]


@pattern
def chunks_of_two_bytes_short_of_their_end(target):
    yield target.chunked
    yield chunk(b"xx") * (target.body_bytes // 2 - 1)


@pattern
def chunks_of_one_byte_short_of_their_end(target):
    yield target.chunked
    yield chunk(b"x") * (target.body_bytes - 1)


@pattern
def whole_bodies_in_chunks_of_two_bytes(target):
    yield target.chunked
    yield chunk(b"xx") * (target.body_bytes // 2)
    yield chunk(b"")


@pattern
def requests_queued_on_each_connection(target):
    for _ in range(_QUEUED_REQUESTS):
        yield from whole_bodies(target)


@pattern
def heads_of_short_lines_with_a_body_short_of_its_end(target):
    lines = (target.head_bytes - 512) // len(_FILLER_LINE)
    yield target.head + _FILLER_LINE * lines
    yield b"Content-Length: 2\r\n\r\nx"


@pattern
def heads_of_short_lines_short_of_their_end(target):
    lines = (target.head_bytes - 512) // len(_FILLER_LINE)
    yield target.head + _FILLER_LINE * lines


@pattern
def requests_whose_answers_are_not_read(target):
    yield target.head + b"\r\n"


class Crowd:
    """Clients that send the same pattern and stay connected.

    They come all at once, or one after the other if there is a pause.
    """

    def __init__(self, target, parts, count, pause=0.0):
        self._target = target
        self._parts = list(parts(target))
        self._count = count
        self._pause = pause
        self._writers = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        self.leave()
        await asyncio.sleep(0.2)

    async def send(self):
        """Returns once each client has sent all or is disconnected."""
        await asyncio.gather(*(self._send_one(n) for n in range(self._count)))

    async def _send_one(self, number):
        await asyncio.sleep(number * self._pause)
        with contextlib.suppress(OSError):
            # Little of an answer is read, as no one takes it from the reader.
            _, writer = await asyncio.open_connection(
                *self._target.address, limit=_READ_BYTES
            )
            self._writers.append(writer)
            for part in self._parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)

    def leave(self):
        """Closes all connections."""
        for writer in self._writers:
            writer.close()
        self._writers.clear()
