"""Builds what operators and endpoints write into the stand-in store."""

from collections.abc import Iterable
from typing import Any

HOST = "shop.example"
MODEL_SPEC = {
    "weights_mb": 100.0,
    "load_s": 0.4,
    "disk_s": 0.2,
    "warm_s": 0.1,
    "adapters": 4,
    "adapter_mb": 1.0,
}


def route(
    name: str, prefix: str, kind: str, service: str, **fields: Any
) -> dict[str, Any]:
    """Returns a route of the manifest."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 800,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **fields,
    }


def manifest(version: int = 1, **limits: int) -> dict[str, Any]:
    """Returns a manifest with a plain service and a pool of models."""
    models = [{"name": n, **MODEL_SPEC} for n in ("m1", "m2", "m3")]
    return {
        "version": version,
        "routes": [
            route("get", "/get/", "idempotent", "plain"),
            route("once", "/once/", "non_idempotent", "plain"),
            route("gen", "/gen/", "streaming", "models", resumable=True),
            route("live", "/live/", "streaming", "models", max_attempts=1),
        ],
        "services": [
            {"name": "plain", "max_conns": 50},
            {
                "name": "models",
                "max_conns": 50,
                "engine": {
                    "slots": 8,
                    "kv_capacity": 100_000,
                    "weights_mb": 210.0,
                    "adapter_slots": 2,
                    "loads_per_s": 10.0,
                    "models": models,
                },
            },
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 3000,
            **limits,
        },
    }


def large_manifest(version: int, routes: int) -> dict[str, Any]:
    """Returns a manifest with `routes` additional routes, 0.25 KB each."""
    value = manifest(version)
    value["routes"] += [
        route(f"more-{n}", f"/more-{n}/", "idempotent", "plain")
        for n in range(routes)
    ]
    return value


def entry(
    service: str, address: str, models: Iterable[str] = (), **fields: Any
) -> dict[str, Any]:
    """Returns an endpoint's entry in the endpoint list."""
    return {
        "service": service,
        "address": address,
        "zone": "hall-1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_ms": 0,
        "models": [{"name": m, "version": 1, "adapters": []} for m in models],
        "seq": 77,
        **fields,
    }
