"""A bounded index of the prompt prefixes sent to each engine.

The index follows this entry's own decisions and does not learn what an engine
evicts. It therefore drops each engine's least recently sent blocks at about the
rate at which the engine's cache would; see the paper cited in
`wayslip.decisions.routing`.
"""

import collections
import threading

from wayslip.decisions import routing

_MAX_BLOCKS_PER_ENGINE = 4096


class PrefixIndex:
    """Prompt block hashes by engine. Safe for many threads."""

    def __init__(self, blocks_per_engine: int = _MAX_BLOCKS_PER_ENGINE) -> None:
        self._limit = blocks_per_engine
        self._lock = threading.Lock()
        self._blocks: dict[str, collections.OrderedDict[int, None]] = {}

    def count_cached(self, engine: str, blocks: tuple[int, ...]) -> int:
        """Returns the tokens of a prompt's prefix that an engine may cache."""
        known = self._blocks.get(engine)
        if not known:
            return 0
        length = 0
        for block in blocks:
            if block not in known:
                break
            length += 1
        return length * routing.BLOCK_CHARS // routing.CHARS_PER_TOKEN

    def note_sent(self, engine: str, blocks: tuple[int, ...]) -> None:
        """Records that a prompt was sent to an engine."""
        with self._lock:
            known = self._blocks.setdefault(engine, collections.OrderedDict())
            for block in blocks:
                known[block] = None
                known.move_to_end(block)
            while len(known) > self._limit:
                known.popitem(last=False)

    def forget(self, engine: str) -> None:
        """Removes an engine that restarted or left."""
        with self._lock:
            self._blocks.pop(engine, None)
