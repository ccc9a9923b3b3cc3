"""Sentinel values that stand for an expected refusal, with its reason.

A pure function returns a `Refusal` in place of its result where the caller is
meant to handle the case in its plain path. Exceptions stay for faults.
"""

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Why something was refused; the value appears in logs and answers."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    NO_ENDPOINT = "no_endpoint"
    NOT_LOADED = "not_loaded"
    OVERLOADED = "overloaded"
    CALLER_LIMIT = "caller_limit"
    ENDPOINT_LIMIT = "endpoint_limit"
    TARGET_UNREACHABLE = "target_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    DRAINING = "draining"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_REUSED = "key_reused"
    NO_MEMORY = "no_memory"
    ORDER_PENDING = "order_pending"
    LAST_REPLICA = "last_replica"
    WORLD_CHANGED = "world_changed"
    WRONG_STATE = "wrong_state"
    UNAUTHORIZED = "unauthorized"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal with its reason.

    Attributes:
        reason: The kind of refusal.
        detail: One sentence for the reader, with the remedy.
        retry_after: Seconds after which asking again makes sense; 0 when
            asking again never helps.
    """

    reason: Reason
    detail: str
    retry_after: float = 0.0
