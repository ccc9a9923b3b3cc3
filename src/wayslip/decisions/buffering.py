"""Decides which slow readers are cut off before buffers take all memory.

Load pattern: many clients read slower than their answers arrive. Each answer is
paused while its client's buffer is full, so that one reader holds little. Yet
the buffers of many stalled readers together may exceed what the instance has,
and then all of its requests would fail. A reader that has stalled for longest
is the least likely to get its answer in time.
"""

from collections.abc import Mapping
import dataclasses
from typing import TypeVar

Key = TypeVar("Key")


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """A client whose buffer is full.

    Attributes:
        held: Bytes buffered for it.
        stalled: Seconds since its buffer filled up.
    """

    held: int
    stalled: float


def choose_cuts(readers: Mapping[Key, Reader], limit: int) -> list[Key]:
    """Returns the readers to cut off, none while all fit.

    Args:
        readers: Readers whose buffers are full, by any key.
        limit: Bytes that their buffers may hold together.
    """
    total = sum(reader.held for reader in readers.values())
    cut = []
    # The sort is stable: of those alike, the first is cut.
    for key in sorted(
        readers, key=lambda k: (-readers[k].stalled, -readers[k].held)
    ):
        if total <= limit:
            break
        total -= readers[key].held
        cut.append(key)
    return cut
