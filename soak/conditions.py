"""What one seed plays besides faults: the pool, the callers, the engines."""

import dataclasses
import random
from typing import Any

from standins import platform_site

# Targets of the streaming routes: one within which a load of the stand-in's
# models ends, so that requests may be held for it, and one within which not.
_LONG_TARGET_MS = 800
_SHORT_TARGET_MS = 250
_ORGANISATIONS = ("shop", "bank", "paper")
# Range of an engine's permanent time factor, and of its momentary one.
_OWN_FACTORS = (0.7, 1.5)
_MOMENTARY_FACTORS = (1.0, 1.5)
_VERSIONS = (("v1",), ("v1", "v2"), ("v1", "v2", "v3"))
_UNFRAMED_SHARES = (0.0, 0.3, 1.0)
_BROKEN_SHARES = (0.0, 0.1, 0.3)
# A slowdown is drawn anew after this time.
_FACTOR_SECONDS = 0.05


@dataclasses.dataclass(frozen=True)
class Conditions:
    """Conditions of a seed.

    Attributes:
        holds_requests: Whether a load ends within the longest target of the
            pool's routes; see `wayslip.decisions.profile`.
        organisations: Names of the competing organisations; empty if no route
            requires a key. The first one sends far more than usual at times.
        is_uneven: Whether engines differ in speed and state it.
        versions: Versions of the endpoints' software, side by side.
        unframed_share: Share of the answers that have neither a length nor
            chunks.
        broken_share: Share of the streams that engines break off, by a close
            inside an event or a reset.
    """

    seed: int
    holds_requests: bool
    organisations: tuple[str, ...]
    is_uneven: bool
    versions: tuple[str, ...] = ("v1",)
    unframed_share: float = 0.0
    broken_share: float = 0.0

    @property
    def target_ms(self) -> int:
        """Target of the pool's routes."""
        return _LONG_TARGET_MS if self.holds_requests else _SHORT_TARGET_MS

    def apply(self, manifest: dict[str, Any]) -> None:
        """Adds the organisations, the targets and the slow readers' route."""
        for route in manifest["routes"]:
            if route["service"] == "models":
                route["target_latency_ms"] = self.target_ms
        manifest["routes"].append(
            platform_site.route(
                "large", "/large/", "idempotent", "plain", timeout_ms=8000
            )
        )
        manifest["limits"]["max_body_bytes"] = 4_000_000
        manifest["tenants"] = [
            {"name": name, "api_keys": [find_key(name)], "unit": "requests"}
            for name in self.organisations
        ]

    def make_headers(self, number: int) -> dict[str, str]:
        """Returns the headers of a client by its number."""
        if not self.organisations:
            return {}
        name = self.organisations[number % len(self.organisations)]
        return {"Wayslip_Key": find_key(name)}

    def is_unframed(self, request_id: str) -> bool:
        """Whether the answer to a request has neither a length nor chunks."""
        draw = random.Random(f"{self.seed}-{request_id}-framing").random()
        return draw < self.unframed_share

    def find_break(self, request_id: str, last: int) -> int:
        """Returns the event in which a stream breaks off, 0 for none.

        Args:
            request_id: Id of the request.
            last: Number of the last event.
        """
        rng = random.Random(f"{self.seed}-{request_id}-break")
        if rng.random() >= self.broken_share:
            return 0
        return rng.randint(1, last)

    def find_factor(self, endpoint: str, now: float) -> float:
        """Returns how long work takes at an engine now, 1 for the usual."""
        if not self.is_uneven:
            return 1.0
        own = random.Random(f"{self.seed}-{endpoint}")
        moment = random.Random(
            f"{self.seed}-{endpoint}-{int(now / _FACTOR_SECONDS)}"
        )
        return own.uniform(*_OWN_FACTORS) * moment.uniform(*_MOMENTARY_FACTORS)


def draw(seed: int) -> Conditions:
    """Returns the conditions of a seed."""
    rng = random.Random(f"{seed}-conditions")
    return Conditions(
        seed=seed,
        holds_requests=rng.random() < 0.5,
        organisations=_ORGANISATIONS if rng.random() < 0.5 else (),
        is_uneven=rng.random() < 0.5,
        versions=rng.choice(_VERSIONS),
        unframed_share=rng.choice(_UNFRAMED_SHARES),
        broken_share=rng.choice(_BROKEN_SHARES),
    )


def find_key(organisation: str) -> str:
    """Returns the key of an organisation."""
    return f"key-of-{organisation}"
