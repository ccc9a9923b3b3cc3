"""The gateway's own stored objects, encoded as JSON values."""

import dataclasses
from typing import Any

from wayslip import errors
from wayslip import fields
from wayslip.decisions import lease
from wayslip.decisions import suspicion
from wayslip.decisions import version_history
from wayslip.gateway import store


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A blocked content and the crash records that it is suspected for."""

    content: bytes
    crash_records: tuple[suspicion.CrashRecord, ...]


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
            holder=fields.read_text(spec, "holder"),
            address=fields.read_address(spec, "address"),
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
                name,
                int(orders),
                lease.Action(action),
                fields.check_text(model, "model"),
                adapter and fields.check_text(adapter, "adapter"),
            )
        holder = fields.read_text(spec, "holder")
        return lease.Claim(name, holder, int(spec["token"]), pending)
    except (KeyError, TypeError, ValueError) as e:
        raise _malformed(name, e) from e


def _encode_suspect(value: Suspect) -> Any:
    ends = []
    for m in value.crash_records:
        end = [m.endpoint, m.born, m.depth, m.reporter, m.attempts]
        if m.is_part:
            end.append([name.hex() for name in m.within])
        ends.append(end)
    return {"ends": ends}


def _decode_suspect(name: str, spec: Any) -> Suspect:
    try:
        content = bytes.fromhex(name)
        crash_records = tuple(
            suspicion.CrashRecord(
                content,
                fields.check_text(endpoint, "endpoint"),
                int(born),
                int(depth),
                fields.check_text(reporter, "reporter"),
                int(count),
                tuple(bytes.fromhex(one) for one in (within or [[]])[0]),
            )
            for endpoint, born, depth, reporter, count, *within in spec["ends"]
        )
    except (KeyError, TypeError, ValueError) as e:
        raise _malformed(name, e) from e
    return Suspect(content, crash_records)


def _encode_versions(value: version_history.Record) -> Any:
    return {
        "era": value.era,
        "complete": value.is_complete,
        "services": {s: list(v) for s, v in value.versions.items()},
    }


def _decode_versions(name: str, spec: Any) -> version_history.Record:
    try:
        versions = {
            fields.check_text(service, "service"): tuple(
                version and fields.check_text(version, "version")
                for version in listed
            )
            for service, listed in spec["services"].items()
        }
        return version_history.Record(
            int(spec["era"]), bool(spec["complete"]), versions
        )
    except (AttributeError, KeyError, TypeError, ValueError) as e:
        raise _malformed(name, e) from e


def _malformed(name: str, error: Exception) -> errors.ObjectError:
    return errors.ObjectError(
        f"the object {name} is malformed ({error})",
        "remove it from the store",
    )


LEASE: store.Kind[lease.Lease] = store.Kind(
    "wayslip-leases", _decode_lease, _encode_lease
)
# One object for each engine, named by the engine's id.
CLAIM: store.Kind[lease.Claim] = store.Kind(
    "wayslip-claims", _decode_claim, _encode_claim
)
# One object for each blocked content, named by its digest in hex.
SUSPECT: store.Kind[Suspect] = store.Kind(
    "wayslip-suspects", _decode_suspect, _encode_suspect
)
# One object, see `version_records`.
VERSIONS: store.Kind[version_history.Record] = store.Kind(
    "wayslip-versions", _decode_versions, _encode_versions
)
