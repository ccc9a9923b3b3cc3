"""What the request path needs to know of callers' and endpoints' HTTP.

A dialect reads what concerns us out of requests and answers and writes what
we add; the path itself knows no header by name.
"""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from wayslip.decisions import fleet
from wayslip.http1 import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt that requests may share, with its tokens."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Traits:
    """What a request says of itself.

    Attributes:
        host: Lower case, without a port.
        path: Without the query.
        deadline: Seconds that the client waits, None if it does not say.
        model: Empty where the service is plain.
        adapter: Of the model, may be empty.
        prompt_tokens: Length of the prompt.
        output_tokens: The most that it may generate.
        parts: The prompt's parts in order.
        last_event_id: The last event of the stream that the client has.
        key: Digest of the caller's key, None without one; see
            `organisations.hash_key`.
    """

    request_id: str
    host: str
    path: str
    deadline: float | None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[Part, ...] = ()
    last_event_id: str = ""
    key: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SendParameters:
    """How a request is to be sent to one endpoint.

    Attributes:
        endpoint: Its id; any other endpoint turns the request away.
        seconds_left: What is left of the deadline.
        priority: Urgency, 0 is the most urgent.
        last_event_id: The last event that the client has, if it goes on.
        organisation: Whose request it is, empty if that is not known.
    """

    endpoint: str
    seconds_left: float
    priority: int
    last_event_id: str = ""
    organisation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What an answer's head says.

    Attributes:
        is_genuine: Whether the endpoint vouches for it as its own answer.
        is_refusal: Whether the endpoint says it did not run the request.
        is_misdirected: Whether another endpoint lives at the address.
        is_stream: Whether the body is a stream of events.
        is_leaving: Whether the endpoint says that it takes no new work.
        backoff: Seconds for which it wants nothing from us, None if it does not
            say so.
        limit: Requests a second that it takes from all instances together,
            None if it names none.
    """

    is_genuine: bool
    is_refusal: bool
    is_misdirected: bool
    is_stream: bool
    is_leaving: bool = False
    load: fleet.Load | None = None
    backoff: float | None = None
    limit: float | None = None


class Dialect(Protocol):
    """Reads and writes one platform's headers."""

    def read_request(self, request: messages.Request) -> Traits | None:
        """Returns a request's traits, None if it names no id."""

    def format_request(
        self, request: messages.Request, parameters: SendParameters
    ) -> bytes:
        """Returns the request as bytes for an endpoint."""

    def match_answer(
        self, request_id: str, is_reused: bool
    ) -> Callable[[messages.Head], bool]:
        """Returns whether a head answers a request, as a function."""

    def read_answer(self, head: messages.Head) -> Answer:
        """Returns what an answer's head says."""

    def make_retry_after(self, seconds: float) -> messages.Headers:
        """Returns the headers of a refusal that says when to come back."""
