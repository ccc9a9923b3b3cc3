"""Authorization of requests by their API keys."""

import dataclasses
import enum

from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import organisations


class Verdict(enum.StrEnum):
    """The result of checking a key.

    Attributes:
        ALLOWED: The request may run.
        UNKNOWN_KEY: The newest configuration has no such key; final.
        OLD_CONFIGURATION: The configuration in force has no such key, but a
            newer one, which may have it, can exist.
        UNCONFIRMED: The configuration in force is too old to rely on; its
            keys may have been revoked.
    """

    ALLOWED = "allowed"
    UNKNOWN_KEY = "unknown_key"
    OLD_CONFIGURATION = "old_configuration"
    UNCONFIRMED = "unconfirmed"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """How current the configuration in force is.

    Attributes:
        is_reliable: Whether its keys may still be accepted; see `freshness`.
        is_newest: Whether it is known to be the newest.
    """

    is_reliable: bool
    is_newest: bool


def judge(
    manifest: manifest_module.Manifest,
    route: manifest_module.Route,
    key: bytes | None,
    status: ConfigurationStatus,
) -> tuple[Verdict, organisations.Organisation | None]:
    """Checks a request's key.

    Without organisations in the manifest, every request is allowed.

    Args:
        manifest: The configuration in force.
        route: The request's route.
        key: Digest of the request's key, None if it carries none.
        status: How current the configuration is.

    Returns:
        The verdict, and the organisation that owns the key, None if unknown.
    """
    if not manifest.organisations:
        return Verdict.ALLOWED, None
    caller = manifest.find_caller(key) if status.is_reliable else None
    if route.is_public or caller is not None:
        return Verdict.ALLOWED, caller
    if not status.is_reliable:
        return Verdict.UNCONFIRMED, None
    if not status.is_newest:
        return Verdict.OLD_CONFIGURATION, None
    return Verdict.UNKNOWN_KEY, None
