"""Decoding of the platform's JSON objects into the project's types."""

from collections.abc import Mapping
from typing import Any

from wayslip import errors
from wayslip import fields
from wayslip import texts
from wayslip.decisions import fleet
from wayslip.decisions import manifest
from wayslip.decisions import organisations

_REQUEST_KINDS = {
    "idempotent": manifest.RequestKind.IDEMPOTENT,
    "non_idempotent": manifest.RequestKind.ONCE,
    "streaming": manifest.RequestKind.STREAM,
}
_LEAVING = "draining"
_STATES = ("ready", _LEAVING)


def decode_manifest(spec: Any) -> manifest.Manifest:
    """Returns the configuration from its object in the store.

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
            organisations=tuple(
                _decode_organisation(t) for t in spec.get("tenants") or ()
            ),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as e:
        raise errors.ObjectError(
            f"the configuration is malformed ({type(e).__name__}: {e})",
            "correct it in the platform's store",
        ) from e


def _read_name(raw: Mapping[str, Any], name: str) -> str:
    """Returns a name of the configuration in a form that can be encoded.

    The store has accepted the configuration, so that it has to be in force
    with such a name too.
    """
    return texts.escape(fields.read_string(raw, name))


def _decode_route(raw: Mapping[str, Any]) -> manifest.Route:
    splits = tuple(
        manifest.Split(_read_name(s, "service"), float(s["weight"]))
        for s in raw.get("traffic_split") or ()
    )
    if not splits:
        splits = (manifest.Split(_read_name(raw, "service"), 1.0),)
    timeout = float(raw["timeout_ms"]) / 1000
    return manifest.Route(
        name=_read_name(raw, "name"),
        host=_read_name(raw, "host").lower(),
        prefix=_read_name(raw, "path_prefix"),
        kind=_REQUEST_KINDS[raw["kind"]],
        timeout=timeout,
        target=float(raw.get("target_latency_ms") or 0) / 1000 or timeout,
        priority=int(raw.get("priority") or 0),
        splits=splits,
        max_attempts=max(int(raw.get("max_attempts") or 1), 1),
        is_resumable=bool(raw.get("resumable")),
        is_public=bool(raw.get("public")),
    )


def _decode_organisation(
    raw: Mapping[str, Any],
) -> organisations.Organisation:
    priority = raw.get("priority")
    return organisations.Organisation(
        name=fields.check_text(_read_name(raw, "name"), "name"),
        keys=tuple(fields.read_list(raw, "api_keys", _read_key)),
        priority=None if priority is None else int(priority),
        quota=organisations.Quota(
            rate=float(raw.get("rate_per_s") or 0),
            burst=float(raw.get("burst") or 0),
            unit=organisations.Unit(
                raw.get("unit") or organisations.Unit.REQUESTS
            ),
            plain=float(raw.get("plain_tokens") or 1),
        ),
    )


def _read_key(value: Any, name: str) -> bytes:
    text = texts.escape(value) if isinstance(value, str) else value
    return organisations.hash_key(fields.check_text(text, name).encode())


def _decode_service(raw: Mapping[str, Any]) -> manifest.Service:
    engine = raw.get("engine")
    return manifest.Service(
        name=_read_name(raw, "name"),
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
        name=_read_name(raw, "name"),
        weights_mb=float(raw["weights_mb"]),
        adapter_mb=float(raw.get("adapter_mb") or 0),
        # The field is a count; the adapters are named a1, a2 and so on.
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


def decode_endpoint(name: str, spec: Any) -> fleet.Endpoint:
    """Returns an endpoint from its entry in the store.

    The entry's `seq` counts heartbeats. In an engine's report, the field of
    the same name counts accepted orders.

    Raises:
        ObjectFieldError: A field is missing or has the wrong form.
    """
    try:
        raw = fields.read_object(spec, "spec")
        at_hand = fields.read_object(raw.get("at_hand", {}), "at_hand")
        with fields.within_field("at_hand"):
            in_memory = _read_names(at_hand, "in_memory")
            on_disk = _read_names(at_hand, "on_disk")
        return fleet.Endpoint(
            # Requests name the endpoint in a header.
            name=fields.check_header_text(name, "name"),
            service=fields.read_text(raw, "service"),
            address=fields.read_address(raw, "address"),
            data_hall=fields.read_text(raw, "zone"),
            slots=fields.read_int(raw, "slots", 1),
            is_leaving=_read_state(raw) == _LEAVING,
            models=_decode_models(raw),
            in_memory=in_memory,
            on_disk=on_disk,
            beat=fields.read_int(raw, "seq", 0),
            born=fields.read_int(raw, "born", 0, default=0),
            version=_read_version(raw),
        )
    except fields.FieldError as e:
        raise errors.ObjectFieldError(
            f"the entry of endpoint {name} is malformed ({e})",
            "find its writer; the entry is ignored until it is valid",
            e.field,
        ) from e


def decode_state(body: Any) -> fleet.EngineState:
    """Returns an engine's state from its report.

    The report's `seq` counts the orders that the engine accepted.

    Raises:
        EndpointError: A field is missing or has the wrong form.
    """
    try:
        raw = fields.read_object(body, "report")
        if "models" not in raw:
            raise fields.FieldError("models", "is missing")
        return fleet.EngineState(
            orders=fields.read_int(raw, "seq", 0),
            is_busy=fields.read_flag(raw, "busy"),
            models=_decode_models(raw),
            pending_loads=frozenset(
                fields.read_list(raw, "coming", _decode_pending_load)
            ),
            born=fields.read_int(raw, "born", 0, default=0),
        )
    except fields.FieldError as e:
        raise errors.EndpointError(
            f"an engine's report is malformed ({e})", "see the engine's log"
        ) from e


def _read_state(raw: Mapping[str, Any]) -> str:
    state = fields.read_text(raw, "state")
    if state not in _STATES:
        raise fields.FieldError("state", f"is not one of {', '.join(_STATES)}")
    return state


def _read_version(raw: Mapping[str, Any]) -> str:
    """Returns the version of an endpoint's software, empty if not stated."""
    value = raw.get("version")
    return "" if value is None else fields.check_text(value, "version")


def _read_names(raw: Mapping[str, Any], name: str) -> frozenset[str]:
    return frozenset(fields.read_list(raw, name, fields.check_text))


def _decode_models(raw: Mapping[str, Any]) -> dict[str, frozenset[str]]:
    return dict(fields.read_list(raw, "models", _decode_resident_model))


def _decode_resident_model(item: Any, name: str) -> tuple[str, frozenset[str]]:
    """Returns a resident model and its resident adapters."""
    model = fields.read_object(item, name)
    with fields.within_field(name):
        adapters = fields.read_list(model, "adapters", _decode_adapter)
        return fields.read_text(model, "name"), frozenset(adapters)


def _decode_adapter(item: Any, name: str) -> str:
    text = item.get("name") if isinstance(item, Mapping) else item
    return _adapter_name(fields.check_text(text, name))


def _decode_pending_load(item: Any, name: str) -> fleet.Item:
    """Returns the item that "MODEL/ADAPTER@VERSION" names."""
    text = fields.check_text(item, name)
    return text.partition("/")[0], _adapter_name(text)


def _adapter_name(text: str) -> str:
    """Returns an adapter's name without its model and version."""
    return text.rpartition("/")[2].partition("@")[0]
