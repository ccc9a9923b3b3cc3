"""The kinds of objects in the platform's store that the gateway uses."""

from typing import Any

from wayslip import errors
from wayslip.decisions import fleet
from wayslip.decisions import lease
from wayslip.decisions import manifest
from wayslip.gateway import store
from wayslip.platform import decoding

CONFIGURATION_NAME = "main"
LEASE_NAME = "placement"


def _refuse_to_write(value: object) -> Any:
    raise errors.ObjectError(
        "this kind is written by the platform only", "read it only"
    )


CONFIGURATION: store.Kind[manifest.Manifest] = store.Kind(
    "config",
    lambda name, spec: decoding.decode_manifest(spec),
    _refuse_to_write,
)
ENDPOINTS: store.Kind[fleet.Endpoint] = store.Kind(
    "servers", decoding.decode_endpoint, _refuse_to_write
)


def _encode_lease(record: lease.Record) -> Any:
    return {
        "holder": record.holder,
        "address": record.address,
        "token": record.token,
        "beat": record.beat,
        "released": record.is_released,
        "pending": [
            [p.endpoint, p.orders, p.action.value, p.model, p.adapter]
            for p in record.pending
        ],
    }


def _decode_lease(name: str, spec: Any) -> lease.Record:
    try:
        return lease.Record(
            holder=spec["holder"],
            address=spec["address"],
            token=int(spec["token"]),
            beat=int(spec["beat"]),
            is_released=bool(spec["released"]),
            pending=tuple(
                lease.Pending(e, int(o), lease.Action(a), m, d)
                for e, o, a, m, d in spec["pending"]
            ),
        )
    except (KeyError, TypeError, ValueError) as e:
        raise errors.ObjectError(
            f"the lease {name} is malformed ({e})", "remove it from the store"
        ) from e


LEASE: store.Kind[lease.Record] = store.Kind(
    "wayslip-leases", _decode_lease, _encode_lease
)
