"""Which parts of prompts an engine is thought to have in its cache.

Only what this instance sent is known; an engine may have dropped it since.
"""

import collections
from collections.abc import Sequence

from wayslip.gateway import dialect

# Chains of parts remembered for one engine, least recently used dropped.
_MAX_CHAINS = 512


class PrefixTable:
    """Parts of prompts by the engine that read them."""

    def __init__(self) -> None:
        self._chains: dict[str, collections.OrderedDict[str, None]] = {}

    def count_cached(
        self, engine: str, item: str, parts: Sequence[dialect.Part]
    ) -> int:
        """Returns the tokens of a prompt's start that an engine has read."""
        known = self._chains.get(engine)
        if not known:
            return 0
        cached = 0
        chain = item
        for part in parts:
            chain = f"{chain},{part.id}"
            if chain not in known:
                break
            cached += part.tokens
        return cached

    def note(
        self, engine: str, item: str, parts: Sequence[dialect.Part]
    ) -> None:
        """Notes that an engine reads a prompt."""
        known = self._chains.setdefault(engine, collections.OrderedDict())
        chain = item
        for part in parts:
            chain = f"{chain},{part.id}"
            known[chain] = None
            known.move_to_end(chain)
        while len(known) > _MAX_CHAINS:
            known.popitem(last=False)

    def forget(self, engine: str) -> None:
        """Drops what an engine that is gone had read."""
        self._chains.pop(engine, None)
