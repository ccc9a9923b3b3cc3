"""Reader for an instance's settings file in the platform's format."""

import os
import pathlib
import tomllib
from typing import Any

from wayslip import errors
from wayslip.decisions import quota
from wayslip.gateway import options

_PATH_VARIABLE = "WAYSLIP_SETTINGS"
_DEFAULT_PATH = "/etc/wayslip/settings.toml"
# Offsets from the first port of the range for internal traffic.
_PEERS_PORT_OFFSET = 0
_METRICS_PORT_OFFSET = 1
_BYTES_PER_MBIT = 125_000


def find_path() -> pathlib.Path:
    """Returns the settings path from the environment, or the default."""
    return pathlib.Path(os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH))


def load(path: pathlib.Path) -> options.Options:
    """Reads the settings file; unknown fields are ignored.

    Raises:
        SettingsError: The file cannot be read, or a field is missing or
            malformed.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, tomllib.TOMLDecodeError) as e:
        raise errors.SettingsError(
            f"{path}: {e}", f"name a readable TOML file in {_PATH_VARIABLE}"
        ) from e
    try:
        return _decode(values)
    except (KeyError, TypeError, ValueError, IndexError) as e:
        raise errors.SettingsError(
            f"{path}: {type(e).__name__}: {e}", "add or correct that field"
        ) from e


def _decode(values: dict[str, Any]) -> options.Options:
    listen = values["listen"]
    ip = values["ip"]
    first_port = int(values["internal_ports"][0])
    return options.Options(
        name=values["node_name"],
        ip=ip,
        data_hall=values["zone"],
        callers=listen["front"],
        readiness=listen["ready"],
        store=values["platform"]["address"],
        peers=f"{ip}:{first_port + _PEERS_PORT_OFFSET}",
        metrics_port=first_port + _METRICS_PORT_OFFSET,
        bounds=_decode_bounds(values.get("bounds") or {}),
        cores=_decode_cores(values.get("limits") or {}),
        bytes_per_s=_decode_bandwidth(values.get("limits") or {}),
        descriptors=int((values.get("limits") or {}).get("max_fds", 0)),
        memory_mb=float((values.get("limits") or {}).get("memory_mb", 0)),
    )


def _decode_cores(raw: dict[str, Any]) -> float:
    """Returns an instance's processor capacity, as a multiple of one core."""
    return float(raw.get("cpu_share", 1.0)) * float(raw.get("cores", 1))


def _decode_bandwidth(raw: dict[str, Any]) -> float:
    """Returns the bandwidth of an instance's link, bytes per second."""
    mbps = float(raw.get("link_mbps") or 0)
    return mbps * _BYTES_PER_MBIT or options.Options.bytes_per_s


def _decode_bounds(raw: dict[str, Any]) -> options.Bounds:
    default = options.Bounds()
    return options.Bounds(
        grace=float(raw.get("grace_s", default.grace)),
        lease=float(raw.get("lease_ms", default.lease * 1000)) / 1000,
        budget_ratio=float(raw.get("budget_ratio", default.budget_ratio)),
        budget_window=float(raw.get("budget_window_s", default.budget_window)),
        budget_slack=float(raw.get("retry_slack", default.budget_slack)),
        load_window=float(raw.get("ceiling_window_s", default.load_window)),
        config_apply=float(
            raw.get("config_apply_ms", default.config_apply * 1000)
        )
        / 1000,
        load_over=float(raw.get("origin_rate_over", default.load_over)),
        revocation=_decode_revocation(raw),
        allowance=quota.Allowance(
            float(raw.get("quota_window_s", 0)),
            float(raw.get("quota_over", 0)),
            float(raw.get("quota_slack", 0)),
        ),
    )


def _decode_revocation(raw: dict[str, Any]) -> float | None:
    """Returns the time within which all instances must reject a removed key.

    Returns:
        Seconds, None if there is no strict limit.
    """
    if not raw.get("revoke_strict") or "revoke_ms" not in raw:
        return None
    return float(raw["revoke_ms"]) / 1000
