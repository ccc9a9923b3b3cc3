"""What an engine's book says to the planner."""

from wayslip import clock
from wayslip.decisions import copies
from wayslip.decisions import manifest
from wayslip.gateway import books as books_module
from wayslip.gateway import words as words_module


def count_adapters(book: books_module.Book) -> int:
    """Returns the places for adapters that are or may be taken."""
    return sum(1 for _, adapter in book.charged() if adapter)


def sum_charges(
    book: books_module.Book, pool: manifest.Pool
) -> tuple[float, dict[str, float]]:
    """Returns the memory that is or may be taken, and adapters' by model."""
    total = 0.0
    adapters: dict[str, float] = {}
    for model, adapter in book.charged():
        size = pool.weigh(model, adapter)
        total += size
        if adapter:
            adapters[model] = adapters.get(model, 0.0) + size
    return total, adapters


def is_within(book: books_module.Book, pool: manifest.Pool) -> bool:
    """Whether all that is charged fits, an open order included."""
    total, _ = sum_charges(book, pool)
    has_places = count_adapters(book) <= pool.adapter_slots
    return has_places and total <= pool.weights_mb


def is_resting(book: books_module.Book, now: float) -> bool:
    """Whether no series of orders is under way and none failed just now."""
    return (book.task is None or book.task.done()) and now >= book.rests_until


def is_free(book: books_module.Book, may_claim: bool, now: float) -> bool:
    """Whether an engine can be ordered at once."""
    return is_resting(book, now) and book.pending is None and may_claim


def make_engine(
    book: books_module.Book,
    pool: manifest.Pool,
    may_claim: bool,
    words: words_module.Words,
) -> copies.Engine:
    """Returns an engine as the planner sees it."""
    now = clock.now()
    endpoint = book.endpoint
    total, adapters = sum_charges(book, pool)
    coming = {m: max(at - now, 0.0) for m, at in book.ready_at.items()}
    held = {m for m, a in book.charged() if not a} - set(coming)
    return copies.Engine(
        name=endpoint.name,
        models=frozenset(held),
        coming=coming,
        charged_mb=total,
        adapters_mb=adapters,
        is_free=is_free(book, may_claim, now),
        fresh=frozenset(
            m for m, at in book.loaded_at.items() if now - at < copies.SETTLE
        ),
        in_memory=endpoint.in_memory,
        on_disk=endpoint.on_disk,
        limit=words.find_limit(endpoint.start),
        rest=words.find_rest(endpoint),
    )
