"""Values that represent an expected refusal, with its reason.

A function returns a `Refusal` instead of its result where the caller should
handle the case in its normal control flow. Exceptions are for faults.
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
        detail: A message for the reader, with the remedy.
        retry_after: Seconds after which a retry may succeed; 0 if a retry
            never helps.
    """

    reason: Reason
    detail: str
    retry_after: float = 0.0
