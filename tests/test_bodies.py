import _pyio
import io

import pytest

from wayslip import bodies
from wayslip import errors

LIMIT = 10_000


class Source(_pyio.BufferedReader):
    """A connection whose bytes arrive in parts of some size."""

    def __init__(self, data, size):
        class Raw(io.RawIOBase):
            def readable(self):
                return True

            def readinto(self, buffer):
                part = left[: min(size, len(buffer))]
                del left[: len(part)]
                buffer[: len(part)] = part
                return len(part)

        left = bytearray(data)
        super().__init__(Raw())


def ignore(size, received):
    pass


def chunk(data, extension=b""):
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


@pytest.mark.parametrize("size", [1, 7, 100, 8192])
def test_chunks_are_joined_and_the_next_request_is_left(size):
    data = (
        chunk(b"ab")
        + chunk(b"c" * 3000, b";name=value")
        + chunk(b"\r\n5\r\n")
        + chunk(b"d") * 500
        + b"0\r\nTrailer: x\r\n\r\nGET"
    )
    source = Source(data, size)
    body = bodies.read_chunks(source, LIMIT, ignore)
    assert body == b"ab" + b"c" * 3000 + b"\r\n5\r\n" + b"d" * 500
    assert source.read(10) == b"GET"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"5\r\nabc",
        b"3\r\nabcd\r\n0\r\n\r\n",
        chunk(b"abc"),
        chunk(b"abc") + b"0\r\nTrailer",
        b"-1\r\nabc\r\n0\r\n\r\n",
        b"xyz\r\nabc\r\n0\r\n\r\n",
        b"1" * 20_000,
        chunk(b"x" * (LIMIT + 1)) + b"0\r\n\r\n",
        chunk(b"x") * (LIMIT + 1) + b"0\r\n\r\n",
        b"0\r\n" + b"a: b\r\n" * 100_000,
        chunk(b"x", b";" + b"y" * 10_000) * 200,
    ],
)
@pytest.mark.parametrize("size", [100, 8192])
def test_malformed_chunks_are_refused(data, size):
    with pytest.raises(errors.BadRequestError):
        bodies.read_chunks(Source(data, size), LIMIT, ignore)


def test_body_of_the_largest_size_is_read():
    body = b"x" * LIMIT
    source = Source(chunk(body) + b"0\r\n\r\n", 8192)
    assert bodies.read_chunks(source, LIMIT, ignore) == body
    assert bodies.read_length(Source(body, 8192), LIMIT, ignore) == body


def test_truncated_body_is_refused():
    with pytest.raises(errors.BadRequestError):
        bodies.read_length(Source(b"abc", 8192), 4, ignore)


def test_progress_is_told():
    told = []
    bodies.read_chunks(
        Source(chunk(b"x" * 100) + b"0\r\n\r\n", 30),
        LIMIT,
        lambda size, received: told.append((size, received)),
    )
    assert told[-1][0] == 100
    assert sum(received for _, received in told) >= 100
