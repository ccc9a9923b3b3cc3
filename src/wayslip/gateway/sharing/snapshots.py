"""A configuration as bytes, as instances send it to one another.

The format is CBOR arrays of the fields in their order, compressed. Names of
routes are random, and 1.05 MB of the operator's JSON become 0.07 MB.
"""

import dataclasses
from typing import Any
import zlib

import cbor2

from wayslip import errors
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import organisations as organisations_module

# Changes with the fields of a configuration, so that an instance of another
# version reads the store instead of misinterpreting the copy.
_FORMAT = 2
# Largest size after decompression: many times the 1 MB that an object of the
# store may have.
_MAX_SIZE_BYTES = 16_000_000
# Higher levels take three times as long and save a tenth of the size.
_COMPRESSION_LEVEL = 1


def encode(manifest: manifest_module.Manifest) -> bytes:
    """Returns a configuration as bytes."""
    content = [
        _FORMAT,
        manifest.version,
        manifest.routes,
        tuple(manifest.services.values()),
        manifest.limits,
        manifest.organisations,
    ]
    return zlib.compress(
        cbor2.dumps(content, default=_encode_part), _COMPRESSION_LEVEL
    )


def _encode_part(encoder: cbor2.CBOREncoder, part: Any) -> None:
    """Encodes a data class as its fields in their order."""
    encoder.encode([getattr(part, f.name) for f in dataclasses.fields(part)])


def decode(data: bytes) -> manifest_module.Manifest:
    """Returns the configuration that some bytes encode.

    The compressed form ends with a checksum, which reveals bytes that were
    corrupted on the way.

    Raises:
        FrameError: The bytes are of another format, or corrupted.
    """
    try:
        inflater = zlib.decompressobj()
        content = inflater.decompress(data, _MAX_SIZE_BYTES)
        if not inflater.eof:
            raise ValueError("it is cut short, or too large")
        number, *fields = cbor2.loads(content)
        if number != _FORMAT:
            raise ValueError(f"format {number} is not known")
        version, routes, services, limits, organisations = fields
        return manifest_module.Manifest(
            int(version),
            tuple(_decode_route(*r) for r in routes),
            {s[0]: _decode_service(*s) for s in services},
            manifest_module.Limits(*limits),
            tuple(_decode_organisation(*o) for o in organisations),
        )
    except (
        zlib.error,
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        AttributeError,
        LookupError,
        OverflowError,
        RecursionError,
    ) as e:
        raise errors.FrameError(
            f"a copy of the configuration is malformed ({e})",
            "run the same release on all instances",
        ) from e


def _decode_route(
    name: str,
    host: str,
    prefix: str,
    kind: str,
    timeout: float,
    target: float,
    priority: int,
    splits: list[list[Any]],
    *rest: Any,
) -> manifest_module.Route:
    return manifest_module.Route(
        name,
        host,
        prefix,
        manifest_module.RequestKind(kind),
        timeout,
        target,
        priority,
        tuple(manifest_module.Split(*s) for s in splits),
        *rest,
    )


def _decode_organisation(
    name: str, keys: list[bytes], priority: int | None, quota: list[Any]
) -> organisations_module.Organisation:
    rate, burst, unit, plain = quota
    return organisations_module.Organisation(
        name,
        tuple(keys),
        priority,
        organisations_module.Quota(
            rate, burst, organisations_module.Unit(unit), plain
        ),
    )


def _decode_service(
    name: str, max_connections: int, pool: list[Any] | None
) -> manifest_module.Service:
    if pool is None:
        return manifest_module.Service(name, max_connections)
    return manifest_module.Service(name, max_connections, _decode_pool(*pool))


def _decode_pool(
    slots: int,
    kv_tokens: int,
    weights_mb: float,
    adapter_slots: int,
    loads_per_s: float,
    models: dict[str, list[Any]],
) -> manifest_module.Pool:
    found = {name: _decode_model(*raw) for name, raw in models.items()}
    return manifest_module.Pool(
        slots, kv_tokens, weights_mb, adapter_slots, loads_per_s, found
    )


def _decode_model(
    name: str,
    weights_mb: float,
    adapter_mb: float,
    adapters: list[str],
    *rest: float,
) -> manifest_module.Model:
    return manifest_module.Model(
        name, weights_mb, adapter_mb, tuple(adapters), *rest
    )
