"""Typed errors whose messages name the remedy.

An error is raised for a fault of the caller of a function or of the outside
world. An expected refusal is not an error: see `wayslip.refusals`.
"""


class WayslipError(Exception):
    """A fault with its remedy.

    Attributes:
        reason: What went wrong, one sentence.
        remedy: What the reader can do about it, one sentence.
    """

    def __init__(self, reason: str, remedy: str) -> None:
        super().__init__(f"{reason}; {remedy}")
        self.reason = reason
        self.remedy = remedy


class SettingsError(WayslipError):
    """A settings file can not be used."""


class BadRequestError(WayslipError):
    """A request from outside is malformed."""


class ObjectError(WayslipError):
    """The object API did not do what was asked."""


class ObjectFieldError(ObjectError):
    """An object is not what its kind should be.

    Attributes:
        field: The first field that is wrong.
    """

    def __init__(self, reason: str, remedy: str, field: str) -> None:
        super().__init__(reason, remedy)
        self.field = field


class ObjectConflictError(ObjectError):
    """A conditional update met a newer version, so nothing was written."""


class ObjectMissingError(ObjectError):
    """The named object does not exist."""


class ObjectUnavailableError(ObjectError):
    """The object API did not answer; a write may have taken effect."""


class WatchExpiredError(ObjectError):
    """A watch asked for a version the object API no longer keeps."""


class EndpointError(WayslipError):
    """An endpoint did not do what was asked."""


class NotSentError(EndpointError):
    """No byte of the request can have reached the endpoint."""


class NobodyListensError(NotSentError):
    """The endpoint's machine answers, and no process has the address."""


class EndpointUnclearError(EndpointError):
    """The request may have reached the endpoint; its effect is unknown."""


class PeerError(WayslipError):
    """A peer could not be reached or refused a call."""


class FrameError(WayslipError):
    """A frame from a peer is malformed or not authentic."""


class InvariantError(AssertionError):
    """A promise would have been broken; the change was not made."""
