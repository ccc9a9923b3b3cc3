"""What a client has received of one stream, over all its tries."""

import re

from soak import endpoints
from standins import platform_client

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+)\n\n")


class Stream:
    """The events of one stream.

    Attributes:
        id: Id of the request that brought the first event, empty before.
        last: Number of the last event received, 0 before the first.
        is_whole: Whether the last answer was complete.
    """

    def __init__(self, oracle: endpoints.Oracle) -> None:
        """Initializes without an event.

        Args:
            oracle: Where violations are reported.
        """
        self._oracle = oracle
        self._versions: set[bytes] = set()
        self.id = ""
        self.last = 0
        self.is_whole = False

    def make_headers(self) -> dict[str, str]:
        """Returns the headers with which a client takes the stream up."""
        if not self.id:
            return {}
        return platform_client.make_take_up_headers(self.id, self.last)

    def take(self, request: str, answer: platform_client.Answer) -> None:
        """Takes the events of a successful answer and checks them."""
        stream = self.id or request
        end = 0
        for event in _EVENT.finditer(answer.body):
            number, owner, version = event.groups()
            if event.start() != end or int(number) != self.last + 1:
                self._report(f"{stream} event {number!r} after {self.last}")
            if owner.decode() != stream:
                self._report(f"{stream} holds an event of {owner!r}")
            self.id, self.last, end = stream, int(number), event.end()
            self._versions.add(version)
        if len(self._versions) > 1:
            self._report(f"{stream} holds events of {self._versions}")
        self.is_whole = answer.is_whole
        if self.is_whole and self.last != endpoints.EVENT_COUNT:
            self._report(f"{stream} looks complete after {self.last}")
        if self.is_whole and end != len(answer.body):
            self._report(f"{stream} ends with {answer.body[end:]!r:.80}")

    def _report(self, text: str) -> None:
        self._oracle.report_violation(f"ORDER {text}")
