"""Estimates which prompt prefixes an engine has in its cache.

Only prompts that this instance sent are known, and an engine may have evicted
them since.
"""

import collections
from collections.abc import Sequence

from wayslip.gateway import dialect

# Prefixes tracked per engine; the least recently used are dropped.
_MAX_CHAINS = 512


class PrefixTable:
    """Prompt prefixes by the engine that read them."""

    def __init__(self) -> None:
        self._chains: dict[str, collections.OrderedDict[str, None]] = {}

    def count_cached(
        self, engine: str, item: str, parts: Sequence[dialect.PromptPart]
    ) -> int:
        """Returns how many tokens of a prompt's start an engine has read."""
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
        self, engine: str, item: str, parts: Sequence[dialect.PromptPart]
    ) -> None:
        """Records that an engine reads a prompt."""
        known = self._chains.setdefault(engine, collections.OrderedDict())
        chain = item
        for part in parts:
            chain = f"{chain},{part.id}"
            known[chain] = None
            known.move_to_end(chain)
        while len(known) > _MAX_CHAINS:
            known.popitem(last=False)

    def forget(self, engine: str) -> None:
        """Drops the prefixes of an engine that was removed."""
        self._chains.pop(engine, None)
