"""The gateway's own objects in the store, as plain JSON values."""

from typing import Any

from wayslip import errors
from wayslip.decisions import lease
from wayslip.gateway import store


def _encode_lease(value: lease.Lease) -> Any:
    return {
        "holder": value.holder,
        "address": value.address,
        "term": value.term,
        "beat": value.beat,
        "released": value.is_released,
    }


def _decode_lease(name: str, spec: Any) -> lease.Lease:
    try:
        return lease.Lease(
            holder=spec["holder"],
            address=spec["address"],
            term=int(spec["term"]),
            beat=int(spec["beat"]),
            is_released=bool(spec["released"]),
        )
    except (KeyError, TypeError, ValueError) as e:
        raise _malformed(name, e) from e


def _encode_claim(value: lease.Claim) -> Any:
    pending = value.pending
    return {
        "holder": value.holder,
        "token": value.token,
        "pending": pending
        and [pending.orders, pending.action, pending.model, pending.adapter],
    }


def _decode_claim(name: str, spec: Any) -> lease.Claim:
    try:
        pending = None
        if spec["pending"]:
            orders, action, model, adapter = spec["pending"]
            pending = lease.Pending(
                name, int(orders), lease.Action(action), model, adapter
            )
        return lease.Claim(name, spec["holder"], int(spec["token"]), pending)
    except (KeyError, TypeError, ValueError) as e:
        raise _malformed(name, e) from e


def _malformed(name: str, error: Exception) -> errors.ObjectError:
    return errors.ObjectError(
        f"the object {name} is malformed ({error})",
        "remove it from the store",
    )


LEASE: store.Kind[lease.Lease] = store.Kind(
    "wayslip-leases", _decode_lease, _encode_lease
)
# One for each engine, under the engine's id.
CLAIM: store.Kind[lease.Claim] = store.Kind(
    "wayslip-claims", _decode_claim, _encode_claim
)
