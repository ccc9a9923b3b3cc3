"""Whether a request's key lets it in."""

import dataclasses
import enum

from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import organisations


class Verdict(enum.StrEnum):
    """What a key is worth now.

    Attributes:
        UNKNOWN_KEY: The newest configuration has no such key; final.
        OLD_CONFIGURATION: A newer one that may have the key can be there.
        UNCONFIRMED: Ours may hold keys that were taken away too long ago.
    """

    ALLOWED = "allowed"
    UNKNOWN_KEY = "unknown_key"
    OLD_CONFIGURATION = "old_configuration"
    UNCONFIRMED = "unconfirmed"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """What is known of the configuration in force.

    Attributes:
        is_reliable: Whether keys that it holds may be relied on; see
            `freshness`.
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
    """Returns what a request's key is worth, and whose it is.

    Args:
        manifest: In force.
        route: Of the request.
        key: Digest of what it carries, None without one.
        status: Of the configuration.
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
