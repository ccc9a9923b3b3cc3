"""Error answers to callers in the OpenAI format, each with its outcome."""

import math

from wayslip import refusals
from wayslip import web

_STATUS = {
    refusals.Reason.BAD_REQUEST: 400,
    refusals.Reason.UNAUTHORIZED: 401,
    refusals.Reason.UNKNOWN_MODEL: 404,
    refusals.Reason.UNKNOWN_SERVICE: 404,
    refusals.Reason.KEY_REUSED: 409,
    refusals.Reason.CALLER_LIMIT: 429,
}
_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "not_found_error",
    409: "conflict_error",
    429: "rate_limit_error",
}
_UNAVAILABLE = 503
_DEFAULT_RETRY_AFTER_SECONDS = 1.0


def answer_refusal(
    refusal: refusals.Refusal, outcome: str = web.NOT_RUN
) -> web.Answer:
    """Returns the answer for a refusal, by default with outcome `not-run`."""
    status = _STATUS.get(refusal.reason, _UNAVAILABLE)
    headers = {web.OUTCOME: outcome}
    if status in (429, _UNAVAILABLE):
        seconds = refusal.retry_after or _DEFAULT_RETRY_AFTER_SECONDS
        headers["Retry-After"] = str(math.ceil(seconds))
    return _answer(status, refusal.reason, refusal.detail, headers)


def answer_unknown(detail: str, retry_after: float = 1.0) -> web.Answer:
    """Returns the 502 answer for a request that may or may not have run."""
    headers = {
        web.OUTCOME: web.UNKNOWN,
        "Retry-After": str(math.ceil(retry_after)),
    }
    return _answer(502, "outcome_unknown", detail, headers)


def _answer(
    status: int, code: str, detail: str, headers: dict[str, str]
) -> web.Answer:
    error = {
        "message": detail,
        "type": _TYPES.get(status, "server_error"),
        "param": None,
        "code": str(code),
    }
    answer = web.answer_json(status, {"error": error})
    return web.Answer(answer.status, answer.body, answer.content_type, headers)
