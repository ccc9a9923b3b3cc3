"""Interface between the request path and a platform's HTTP conventions.

A dialect parses the platform's headers in requests and answers and writes those
that are added. The request path itself uses no header by name.
"""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from wayslip.decisions import fleet
from wayslip.http1 import messages


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share, and its length in tokens."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Traits:
    """Properties of a request, as its headers state them.

    Attributes:
        request_id: Given by the client.
        host: Lower case, without a port.
        path: Without the query.
        deadline: Seconds that the client waits, None if not stated.
        model: Empty for a plain service.
        adapter: Adapter of the model, may be empty.
        prompt_tokens: Length of the prompt.
        output_tokens: Maximum number of generated tokens.
        parts: The prompt's parts in order.
        last_event_id: Id of the last stream event that the client received.
        resumes: Id of the request that brought the first event of the stream
            that the client takes up, empty for none.
        version: Software version of the endpoints that may serve it, None for
            any; not stated, but see `stream_versions`.
        key: Digest of the API key, None without one; see
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
    parts: tuple[PromptPart, ...] = ()
    last_event_id: str = ""
    resumes: str = ""
    version: str | None = None
    key: bytes | None = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may have too.

        The last part belongs to the request itself.
        """
        return tuple(p.id for p in self.parts[:-1])


@dataclasses.dataclass(frozen=True, slots=True)
class SendParameters:
    """Parameters of sending a request to an endpoint.

    Attributes:
        endpoint: Its id; any other endpoint refuses the request.
        seconds_left: Time left until the deadline.
        priority: Urgency, 0 is the most urgent.
        last_event_id: Id of the last event that the client received, if the
            stream is resumed.
        organisation: Name of the caller, empty if it is not known.
    """

    endpoint: str
    seconds_left: float
    priority: int
    last_event_id: str = ""
    organisation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Properties of an answer, as its head states them.

    Attributes:
        is_genuine: Whether it is marked as the endpoint's own answer.
        is_refusal: Whether the endpoint did not run the request.
        is_misdirected: Whether another endpoint has this address.
        is_stream: Whether the body is a stream of events.
        is_leaving: Whether the endpoint takes no new work any more.
        load: The endpoint's load, None if not stated.
        backoff: Seconds for which the endpoint asks for no requests, None if it
            doesn't ask.
        limit: Requests per second that it accepts from all instances together,
            None if it names no limit.
        brittle: Requests that the endpoint may turn away for lack of room in a
            second; with more it crashes. None if it is not brittle.
    """

    is_genuine: bool
    is_refusal: bool
    is_misdirected: bool
    is_stream: bool
    is_leaving: bool = False
    load: fleet.Load | None = None
    backoff: float | None = None
    limit: float | None = None
    brittle: int | None = None


class Dialect(Protocol):
    """Reads and writes one platform's headers."""

    def read_request(self, request: messages.Request) -> Traits | None:
        """Returns a request's traits, None if it has no request id."""

    def format_request(
        self, request: messages.Request, parameters: SendParameters
    ) -> bytes:
        """Returns the request as bytes for an endpoint."""

    def match_answer(
        self, request_id: str, is_reused: bool
    ) -> Callable[[messages.Head], bool]:
        """Returns a predicate: does a head belong to this request's answer?"""

    def read_answer(self, head: messages.Head) -> Answer:
        """Returns the properties of an answer."""

    def make_retry_after(self, seconds: float) -> messages.Headers:
        """Returns the headers that ask a client to retry after some time."""
