"""Kinds of objects in the platform's store that the gateway reads."""

from typing import Any

from wayslip import errors
from wayslip.decisions import fleet
from wayslip.decisions import manifest
from wayslip.gateway import store
from wayslip.platform import decoding

CONFIGURATION_NAME = "main"


def _reject_write(value: object) -> Any:
    raise errors.ObjectError(
        "only the platform writes objects of this kind", "only read them"
    )


CONFIGURATION: store.Kind[manifest.Manifest] = store.Kind(
    "config",
    lambda name, spec: decoding.decode_manifest(spec),
    _reject_write,
)
ENDPOINTS: store.Kind[fleet.Endpoint] = store.Kind(
    "servers", decoding.decode_endpoint, _reject_write
)
