"""Decoding of the platform's JSON objects into the project's types."""

from collections.abc import Mapping
from typing import Any

from wayslip import errors
from wayslip.decisions import fleet
from wayslip.decisions import manifest

_KINDS = {
    "idempotent": manifest.RequestKind.IDEMPOTENT,
    "non_idempotent": manifest.RequestKind.ONCE,
    "streaming": manifest.RequestKind.STREAM,
}
_LEAVING = "draining"


def decode_manifest(spec: Mapping[str, Any]) -> manifest.Manifest:
    """Returns the configuration that an operator wrote.

    Raises:
        ObjectError: A field is missing or has the wrong form.
    """
    try:
        services = [_decode_service(s) for s in spec["services"]]
        return manifest.Manifest(
            version=int(spec["version"]),
            routes=tuple(_decode_route(r) for r in spec["routes"]),
            services={s.name: s for s in services},
            limits=_decode_limits(spec.get("limits") or {}),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as e:
        raise errors.ObjectError(
            f"the configuration is malformed ({type(e).__name__}: {e})",
            "correct it in the platform's store",
        ) from e


def _decode_route(raw: Mapping[str, Any]) -> manifest.Route:
    splits = tuple(
        manifest.Split(s["service"], float(s["weight"]))
        for s in raw.get("traffic_split") or ()
    )
    if not splits:
        splits = (manifest.Split(raw["service"], 1.0),)
    timeout = float(raw["timeout_ms"]) / 1000
    return manifest.Route(
        name=raw["name"],
        host=raw["host"].lower(),
        prefix=raw["path_prefix"],
        kind=_KINDS[raw["kind"]],
        timeout=timeout,
        target=float(raw.get("target_latency_ms") or 0) / 1000 or timeout,
        priority=int(raw.get("priority") or 0),
        splits=splits,
        max_attempts=max(int(raw.get("max_attempts") or 1), 1),
        is_resumable=bool(raw.get("resumable")),
    )


def _decode_service(raw: Mapping[str, Any]) -> manifest.Service:
    engine = raw.get("engine")
    return manifest.Service(
        name=raw["name"],
        max_connections=int(raw.get("max_conns") or 1_000_000),
        pool=_decode_pool(engine) if engine else None,
    )


def _decode_pool(raw: Mapping[str, Any]) -> manifest.Pool:
    models = [_decode_model(m) for m in raw.get("models") or ()]
    return manifest.Pool(
        slots=int(raw.get("slots") or 1),
        kv_tokens=int(raw.get("kv_capacity") or 0),
        weights_mb=float(raw.get("weights_mb") or 0),
        adapter_slots=int(raw.get("adapter_slots") or 0),
        loads_per_s=float(raw.get("loads_per_s") or 1.0),
        models={m.name: m for m in models},
    )


def _decode_model(raw: Mapping[str, Any]) -> manifest.Model:
    load_s = float(raw.get("load_s") or 10.0)
    return manifest.Model(
        name=raw["name"],
        weights_mb=float(raw["weights_mb"]),
        adapter_mb=float(raw.get("adapter_mb") or 0),
        # A count; they are named a1, a2 and so on.
        adapters=tuple(
            f"a{n}" for n in range(1, int(raw.get("adapters") or 0) + 1)
        ),
        load_s=load_s,
        disk_s=float(raw.get("disk_s") or load_s),
        warm_s=float(raw.get("warm_s") or load_s),
    )


def _decode_limits(raw: Mapping[str, Any]) -> manifest.Limits:
    default = manifest.Limits()
    return manifest.Limits(
        header_bytes=int(raw.get("max_header_bytes") or default.header_bytes),
        body_bytes=int(raw.get("max_body_bytes") or default.body_bytes),
        header_seconds=float(
            raw.get("header_timeout_ms") or default.header_seconds * 1000
        )
        / 1000,
        idle_seconds=float(
            raw.get("idle_timeout_ms") or default.idle_seconds * 1000
        )
        / 1000,
    )


def decode_endpoint(name: str, spec: Mapping[str, Any]) -> fleet.Endpoint:
    """Returns an endpoint from its own entry in the store.

    The entry's `seq` counts its heartbeats, not the orders it took, which
    have the same name in a report.

    Raises:
        ObjectError: A field is missing or has the wrong form.
    """
    try:
        at_hand = spec.get("at_hand") or {}
        return fleet.Endpoint(
            name=name,
            service=spec["service"],
            address=spec["address"],
            data_hall=spec.get("zone") or "",
            slots=int(spec.get("slots") or 1),
            is_leaving=spec.get("state") == _LEAVING,
            models=_decode_models(spec.get("models") or ()),
            in_memory=frozenset(at_hand.get("in_memory") or ()),
            on_disk=frozenset(at_hand.get("on_disk") or ()),
            beat=int(spec.get("seq") or 0),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as e:
        raise errors.ObjectError(
            f"the entry of endpoint {name} is malformed ({e})",
            "see the endpoint's log",
        ) from e


def decode_state(body: Mapping[str, Any]) -> fleet.EngineState:
    """Returns an engine's report; its `seq` counts the orders it took.

    Raises:
        EndpointError: A field is missing or has the wrong form.
    """
    try:
        return fleet.EngineState(
            orders=int(body["seq"]),
            is_busy=bool(body.get("busy")),
            models=_decode_models(body.get("models") or ()),
            coming=frozenset(
                _decode_coming(c) for c in body.get("coming") or ()
            ),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as e:
        raise errors.EndpointError(
            f"an engine's report is malformed ({e})", "see the engine's log"
        ) from e


def _decode_models(raw: Any) -> dict[str, frozenset[str]]:
    return {
        m["name"]: frozenset(_adapter_name(a) for a in m.get("adapters") or ())
        for m in raw
    }


def _decode_coming(text: str) -> fleet.Item:
    """Returns the item of "MODEL/ADAPTER@VERSION"."""
    return text.partition("/")[0], _adapter_name(text)


def _adapter_name(raw: Any) -> str:
    """Returns an adapter's plain name, whichever way it is spelt."""
    text = raw["name"] if isinstance(raw, Mapping) else str(raw)
    return text.rpartition("/")[2].partition("@")[0]
