"""Opens many streams from one thread and prints the delays of their events.

bench/relay.py runs it as a separate process, so that its cost does not count
as cost of the relay.
"""

import argparse
import json
import random
import selectors
import socket
import time


class Reader:
    """Measures the delays of the events of one stream."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.sent_at = time.monotonic()
        self.last_event_at = 0.0
        self.first = 0.0
        self.gaps: list[float] = []
        self.events = 0
        self.tail = b""

    def feed(self, data: bytes) -> bool:
        """Records the events in the data; returns whether the stream ended."""
        now = time.monotonic()
        text = self.tail + data
        count = text.count(b'"choices"')
        self.tail = text[-20:] if b'"choices"' not in text[-20:] else b""
        if count:
            if self.events:
                # Events that arrive together: the first one has the whole
                # gap, the others none.
                self.gaps.append(now - self.last_event_at)
                self.gaps += [0.0] * (count - 1)
            else:
                self.first = now - self.sent_at
            self.events += count
            self.last_event_at = now
        return b"0\r\n\r\n" in text


def main() -> None:
    """Runs the streams and prints one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--key", required=True)
    parser.add_argument("--streams", type=int, required=True)
    parser.add_argument("--tokens", type=int, required=True)
    parser.add_argument("--spread", type=float, default=1.0)
    args = parser.parse_args()
    host, _, port = args.address.rpartition(":")
    rng = random.Random(args.streams)
    starts = sorted(rng.random() * args.spread for _ in range(args.streams))
    begin = time.monotonic()
    selector = selectors.DefaultSelector()
    readers: list[Reader] = []
    open_streams = 0
    while starts or open_streams:
        while starts and time.monotonic() - begin >= starts[0]:
            starts.pop(0)
            reader = _open(host, int(port), args)
            readers.append(reader)
            selector.register(reader.sock, selectors.EVENT_READ, reader)
            open_streams += 1
        for key, _ in selector.select(0.005):
            data = key.fileobj.recv(65536)  # type: ignore[union-attr]
            if not data or key.data.feed(data):
                selector.unregister(key.fileobj)
                key.fileobj.close()  # type: ignore[union-attr]
                open_streams -= 1
    result = {
        "events": sum(r.events for r in readers),
        "first": [r.first for r in readers],
        "gaps": [g for r in readers for g in r.gaps],
    }
    print(json.dumps(result))


def _open(host: str, port: int, args: argparse.Namespace) -> Reader:
    sock = socket.create_connection((host, port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    body = json.dumps(
        {
            "model": args.model,
            "prompt": "one line of an address",
            "stream": True,
            "max_tokens": args.tokens,
        }
    ).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {args.key}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    sock.sendall(head + body)
    return Reader(sock)


if __name__ == "__main__":
    main()
