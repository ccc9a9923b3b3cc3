"""Typed errors whose messages include a remedy.

An error is raised for invalid use of a function and for failures of external
systems. An expected refusal is not an error: see `wayslip.refusals`.
"""


class WayslipError(Exception):
    """An error with its remedy.

    Attributes:
        reason: What went wrong, one sentence.
        remedy: What the reader can do about it, one sentence.
    """

    def __init__(self, reason: str, remedy: str) -> None:
        super().__init__(f"{reason}; {remedy}")
        self.reason = reason
        self.remedy = remedy


class SettingsError(WayslipError):
    """A settings file cannot be used."""


class BadRequestError(WayslipError):
    """A request to this process is malformed."""


class NoRoomError(WayslipError):
    """A request finds no room in memory. It was not run."""


class ObjectError(WayslipError):
    """The object API did not carry out a request."""


class ObjectFieldError(ObjectError):
    """An object does not match the schema of its kind.

    Attributes:
        field: The first invalid field.
    """

    def __init__(self, reason: str, remedy: str, field: str) -> None:
        super().__init__(reason, remedy)
        self.field = field


class ObjectConflictError(ObjectError):
    """A conditional update found a newer version and wrote nothing."""


class ObjectMissingError(ObjectError):
    """The named object does not exist."""


class ObjectUnavailableError(ObjectError):
    """The object API did not answer; a write may have taken effect."""


class WatchExpiredError(ObjectError):
    """A watch requested a version that the object API no longer keeps."""


class EndpointError(WayslipError):
    """An endpoint did not carry out a request."""


class NotSentError(EndpointError):
    """No part of the request can have reached the endpoint."""


class NobodyListensError(NotSentError):
    """The endpoint's machine answers, but no process has the address."""


class EndpointUnclearError(EndpointError):
    """The request may have reached the endpoint; its effect is unknown."""


class StreamNotKeptError(EndpointUnclearError):
    """Other instances don't know a stream's version, so that it can't begin."""


class StoppingError(WayslipError):
    """This instance is stopping and can't serve a request any more."""


class PeerError(WayslipError):
    """A peer did not answer or refused a call."""


class TunnelRefusedError(PeerError):
    """A peer opens no tunnel to an endpoint now.

    Attributes:
        cause: Why, one word; empty if the peer's release doesn't tell.
    """

    def __init__(self, reason: str, remedy: str, cause: str) -> None:
        super().__init__(reason, remedy)
        self.cause = cause


class FrameError(WayslipError):
    """A frame from a peer is malformed or not authentic."""


class InvariantError(AssertionError):
    """A change was not made, since it would have violated an invariant."""
