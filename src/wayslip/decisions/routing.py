"""Which engine gets a request.

A policy takes the engines that can answer and picks one. Ours predicts the
time to the first token of each: work queued at its last report, work sent
since by this entry and told of by peers, and the prefill of what its prefix
cache is not expected to hold. That a request goes where its prefix was sent
before, unless the queue there costs more, follows the idea of approximate
prefix-aware scheduling in "Intelligent inference scheduling with llm-d on Red
Hat AI" (given to the project as a paper); the measurement that keeps it is in
docs/design/routing.md.

Lengths are tokens, times seconds, rates tokens a second.
"""

from collections.abc import Sequence
import dataclasses
import random
from typing import Protocol

import xxhash

from wayslip import registry
from wayslip.decisions import ownership

# Candidates above this number are sampled, so that a decision over a large
# fleet costs what one over a small fleet does.
SAMPLE_SIZE = 24
BLOCK_CHARS = 256
MAX_BLOCKS = 64
# Part of a prefix that its home engine is trusted to hold unseen.
HOME_CREDIT = 0.5
CHARS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that can answer, as one entry sees it.

    Attributes:
        running: Requests in its batch at its last report.
        slots: Requests its batch can hold.
        backlog: Prefill thought to be ahead of the request now, tokens; see
            `estimate_backlog`.
        sent: Requests sent since that are not in the report.
        prefill_rate: Prefill tokens a second.
        step: Seconds a decoding step takes.
        cached_tokens: Length of the request's prefix expected in its cache.
        in_flight: This entry's requests there.
        is_near: Whether it is in the entry's data hall.
    """

    name: str
    running: int = 0
    slots: int = 32
    backlog: float = 0.0
    sent: int = 0
    prefill_rate: float = 8000.0
    step: float = 0.03
    cached_tokens: int = 0
    in_flight: int = 0
    is_near: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A chosen engine.

    Attributes:
        predicted: Seconds to the first token.
        occupancy: Part of its batch that is taken, above 1 with a queue.
    """

    name: str
    predicted: float
    occupancy: float = 0.0


def make_choice(candidate: "Candidate", predicted: float) -> Choice:
    """Returns the choice of a candidate."""
    taken = candidate.running + candidate.sent
    return Choice(candidate.name, predicted, taken / candidate.slots)


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """Prefill sent to an engine; rank is the class, lower goes first."""

    at: float
    tokens: int
    rank: int


def estimate_backlog(
    waiting: int,
    reported: float,
    sent: Sequence[Sent],
    rank: int,
    rate: float,
    now: float,
) -> float:
    """Returns the prefill ahead of a request of some rank now, tokens.

    Reports lag by many times what a prefill takes, so adding up all that was
    sent since the last one overrates an engine's work. The queue is replayed
    instead: each send adds to it, and it drains at the engine's rate.

    Args:
        waiting: Prefill waiting at the last report; of all ranks.
        reported: When that was.
        sent: What was sent since, oldest first.
        rank: Class of the request; engines do lower ranks first.
        rate: Prefill tokens a second.
        now: The time.
    """
    # What waits in a report is of the lowest ranks, if the engine honours
    # priorities, so the first rank does not stand behind it.
    backlog = float(waiting) if rank > 0 else 0.0
    at = reported
    for send in sent:
        if send.rank > rank:
            continue
        backlog = max(backlog - rate * (send.at - at), 0.0) + send.tokens
        at = send.at
    return max(backlog - rate * (now - at), 0.0)


def estimate_unseen(
    sent: Sequence[Sent], reported_until: float, peers: int
) -> list[Sent]:
    """Returns what peers are taken to have sent since they last told.

    Entries get about the same share of callers, so in the time that no word
    of peers covers, each is taken to have sent what this one did. Without
    this, all entries see the same room at once and fill it several times.
    """
    return [
        dataclasses.replace(s, tokens=s.tokens * peers)
        for s in sent
        if s.at > reported_until
    ]


class Policy(Protocol):
    """Picks one of at least one candidates."""

    def __call__(
        self, candidates: Sequence[Candidate], tokens: int, rng: random.Random
    ) -> Choice:
        """Returns the choice for a prompt of some length."""


POLICIES: registry.Registry[Policy] = registry.Registry("routing policy")

_REMOTE_PENALTY_SECONDS = 0.002


def predict_first_token(candidate: Candidate, tokens: int) -> float:
    """Returns the predicted seconds until a request's first token."""
    uncached = max(tokens - candidate.cached_tokens, 1)
    ahead = candidate.backlog + uncached
    delay = ahead / candidate.prefill_rate + candidate.step
    over = candidate.running + candidate.sent - candidate.slots
    if over >= 0:
        # The batch is full: a slot frees up about every step * 100 / slots
        # when answers are some hundred tokens long.
        delay += (over + 1) * candidate.step * 100 / candidate.slots
    if not candidate.is_near:
        delay += _REMOTE_PENALTY_SECONDS
    return delay


def sample_candidates(
    candidates: Sequence[Candidate], rng: random.Random
) -> Sequence[Candidate]:
    """Returns a bounded sample that keeps those with a cached prefix."""
    if len(candidates) <= SAMPLE_SIZE:
        return candidates
    return [
        candidates[rng.randrange(len(candidates))] for _ in range(SAMPLE_SIZE)
    ]


@POLICIES.register("predicted")
def choose_predicted(
    candidates: Sequence[Candidate], tokens: int, rng: random.Random
) -> Choice:
    """Picks the smallest predicted first token; ties are broken at random."""
    best: Candidate | None = None
    best_delay = 0.0
    for candidate in candidates:
        delay = predict_first_token(candidate, tokens)
        # A little noise keeps entries that share a view from herding.
        delay *= 1 + 0.05 * rng.random()
        if best is None or delay < best_delay:
            best, best_delay = candidate, delay
    assert best is not None
    return make_choice(best, best_delay)


@POLICIES.register("random")
def choose_random(
    candidates: Sequence[Candidate], tokens: int, rng: random.Random
) -> Choice:
    """Picks any."""
    chosen = candidates[rng.randrange(len(candidates))]
    return make_choice(chosen, predict_first_token(chosen, tokens))


@POLICIES.register("least-outstanding")
def choose_least(
    candidates: Sequence[Candidate], tokens: int, rng: random.Random
) -> Choice:
    """Picks the engine with the fewest requests of this entry."""
    low = min(c.in_flight for c in candidates)
    lowest = [c for c in candidates if c.in_flight == low]
    return choose_random(lowest, tokens, rng)


@POLICIES.register("two-choices")
def choose_two(
    candidates: Sequence[Candidate], tokens: int, rng: random.Random
) -> Choice:
    """Picks the less busy of two random engines."""
    pair = [candidates[rng.randrange(len(candidates))] for _ in range(2)]
    chosen = min(pair, key=lambda c: c.running + c.sent)
    return make_choice(chosen, predict_first_token(chosen, tokens))


@POLICIES.register("prefix-affinity")
def choose_affinity(
    candidates: Sequence[Candidate], tokens: int, rng: random.Random
) -> Choice:
    """Picks the longest cached prefix whatever the queue; ties at random."""
    high = max(c.cached_tokens for c in candidates)
    longest = [c for c in candidates if c.cached_tokens == high]
    return choose_random(longest, tokens, rng)


def find_home(blocks: Sequence[int], names: Sequence[str]) -> str | None:
    """Returns the engine where entries agree to look for a prefix first.

    An entry knows only its own sends, and a conversation's next turn may come
    in through another. So all of them hash the same block of a prompt, the
    last one at a power of two, which turns of one conversation share.

    Args:
        blocks: Chained hashes of the prompt.
        names: The engines that could answer.
    """
    if not blocks:
        return None
    depth = 1 << (len(blocks).bit_length() - 1)
    return ownership.find_owner(str(blocks[depth - 1]), names)


def expect_cached(cached: int, blocks: Sequence[int]) -> int:
    """Returns the tokens that a prompt's home may hold, at least `cached`."""
    depth = 1 << (len(blocks).bit_length() - 1)
    credit = int(depth * BLOCK_CHARS / CHARS_PER_TOKEN * HOME_CREDIT)
    return max(cached, credit)


def hash_blocks(scope: str, text: str) -> tuple[int, ...]:
    """Returns the chained hashes of a prompt's whole blocks.

    Args:
        scope: What the cache depends on besides the text: the engine's model.
        text: The prompt as one string.
    """
    previous = xxhash.xxh64_intdigest(scope.encode())
    hashes = []
    whole = min(len(text) // BLOCK_CHARS, MAX_BLOCKS)
    for index in range(whole):
        block = text[index * BLOCK_CHARS : (index + 1) * BLOCK_CHARS]
        previous = xxhash.xxh64_intdigest(block.encode(), seed=previous)
        hashes.append(previous)
    return tuple(hashes)


def count_tokens(text: str) -> int:
    """Returns about how many tokens a text has."""
    return max(len(text) // CHARS_PER_TOKEN, 1)
