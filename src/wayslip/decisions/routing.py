"""Chooses the engine for a request.

A policy chooses one of the engines that can answer. The predicted policy
estimates the time to the first token at each: the work queued at its last
report, the work sent since by this entry and reported by peers, and the
prefill of the part of the prompt that its prefix cache is not expected to
hold. A request goes where its prefix was sent before, unless the queue there
costs more; this follows approximate prefix-aware scheduling as described in
"Intelligent inference scheduling with llm-d on Red Hat AI". The measurements
are in docs/design/routing.md.

Lengths are tokens, times seconds, rates tokens a second.
"""

from collections.abc import Sequence
import dataclasses
import random
from typing import Protocol

import xxhash

from wayslip import registry
from wayslip.decisions import ownership

# Maximum number of candidates compared; larger sets are sampled, so that the
# cost of a decision does not grow with the fleet.
SAMPLE_SIZE = 24
BLOCK_CHARS = 256
MAX_BLOCKS = 64
# Share of a prefix that its home engine is assumed to hold without evidence.
HOME_CREDIT = 0.5
CHARS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that can answer, from the view of one entry.

    Attributes:
        running: Requests in its batch at its last report.
        slots: Maximum number of requests in its batch.
        backlog: Estimated prefill ahead of the request, tokens; see
            `estimate_backlog`.
        sent: Requests sent since its last report.
        prefill_rate: Prefill tokens a second.
        step: Seconds a decoding step takes.
        cached_tokens: Expected length of the request's prefix in its cache.
        in_flight: Pending requests of this entry.
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
        predicted: Predicted seconds to the first token.
        occupancy: Share of its batch slots in use, above 1 with a queue.
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
    """Prefill sent to an engine.

    Attributes:
        at: When it was sent.
        tokens: Length of the prefill.
        rank: Rank of the request's class; lower ranks are served first.
    """

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
    """Returns the estimated prefill ahead of a request, tokens.

    Reports are older than the duration of many prefills, so the sum of all
    prefill sent since the last report would overestimate the queue. The queue
    is simulated instead: each send adds to it, and it drains at the engine's
    rate.

    Args:
        waiting: Prefill waiting at the last report, of all ranks.
        reported: When the report was made.
        sent: Prefill sent since, oldest first.
        rank: Rank of the request; engines serve lower ranks first.
        rate: Prefill tokens a second.
        now: The current time.
    """
    # If the engine honours priorities, the prefill that waits at a report is of
    # the least urgent ranks, so a request of rank 0 does not wait for it.
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
    """Returns the prefill that peers are assumed to have sent but not reported.

    Entries get about equal shares of the callers, so for the time that the
    peers' reports do not cover, each peer is assumed to have sent as much as
    this entry. Otherwise all entries would use the same free capacity at once.

    Args:
        sent: Prefill that this entry sent.
        reported_until: Time up to which the peers' reports are known.
        peers: Number of peers.
    """
    return [
        dataclasses.replace(s, tokens=s.tokens * peers)
        for s in sent
        if s.at > reported_until
    ]


class Policy(Protocol):
    """Chooses one of at least one candidate."""

    def __call__(
        self, candidates: Sequence[Candidate], tokens: int, rng: random.Random
    ) -> Choice:
        """Returns the choice for a prompt with a number of tokens."""


POLICIES: registry.Registry[Policy] = registry.Registry("routing policy")

_REMOTE_PENALTY_SECONDS = 0.002


def predict_first_token(candidate: Candidate, tokens: int) -> float:
    """Returns the predicted seconds until a request's first token."""
    uncached = max(tokens - candidate.cached_tokens, 1)
    ahead = candidate.backlog + uncached
    delay = ahead / candidate.prefill_rate + candidate.step
    over = candidate.running + candidate.sent - candidate.slots
    if over >= 0:
        # The batch is full: with answers of about a hundred tokens, a slot
        # becomes free about every step * 100 / slots.
        delay += (over + 1) * candidate.step * 100 / candidate.slots
    if not candidate.is_near:
        delay += _REMOTE_PENALTY_SECONDS
    return delay


def sample_candidates(
    candidates: Sequence[Candidate], rng: random.Random
) -> Sequence[Candidate]:
    """Returns all candidates, or a random sample of `SAMPLE_SIZE`."""
    if len(candidates) <= SAMPLE_SIZE:
        return candidates
    return [
        candidates[rng.randrange(len(candidates))] for _ in range(SAMPLE_SIZE)
    ]


@POLICIES.register("predicted")
def choose_predicted(
    candidates: Sequence[Candidate], tokens: int, rng: random.Random
) -> Choice:
    """Chooses the engine with the smallest predicted time to first token."""
    best: Candidate | None = None
    best_delay = 0.0
    for candidate in candidates:
        delay = predict_first_token(candidate, tokens)
        # Noise avoids that entries with the same view choose the same engine.
        delay *= 1 + 0.05 * rng.random()
        if best is None or delay < best_delay:
            best, best_delay = candidate, delay
    assert best is not None
    return make_choice(best, best_delay)


@POLICIES.register("random")
def choose_random(
    candidates: Sequence[Candidate], tokens: int, rng: random.Random
) -> Choice:
    """Chooses a random engine."""
    chosen = candidates[rng.randrange(len(candidates))]
    return make_choice(chosen, predict_first_token(chosen, tokens))


@POLICIES.register("least-outstanding")
def choose_least(
    candidates: Sequence[Candidate], tokens: int, rng: random.Random
) -> Choice:
    """Chooses the engine with the fewest requests of this entry."""
    low = min(c.in_flight for c in candidates)
    lowest = [c for c in candidates if c.in_flight == low]
    return choose_random(lowest, tokens, rng)


@POLICIES.register("two-choices")
def choose_two(
    candidates: Sequence[Candidate], tokens: int, rng: random.Random
) -> Choice:
    """Chooses the less busy of two random engines."""
    pair = [candidates[rng.randrange(len(candidates))] for _ in range(2)]
    chosen = min(pair, key=lambda c: c.running + c.sent)
    return make_choice(chosen, predict_first_token(chosen, tokens))


@POLICIES.register("prefix-affinity")
def choose_affinity(
    candidates: Sequence[Candidate], tokens: int, rng: random.Random
) -> Choice:
    """Chooses the longest cached prefix, whatever the queue; ties at random."""
    high = max(c.cached_tokens for c in candidates)
    longest = [c for c in candidates if c.cached_tokens == high]
    return choose_random(longest, tokens, rng)


def find_home(blocks: Sequence[int], names: Sequence[str]) -> str | None:
    """Returns the engine that all entries prefer for a prefix.

    An entry knows only its own sends, and the next turn of a conversation may
    arrive at another entry. All entries therefore hash the same block of a
    prompt, the last one whose number is a power of two, which most turns of a
    conversation have in common.

    Args:
        blocks: Chained hashes of the prompt.
        names: The engines that can answer.
    """
    if not blocks:
        return None
    depth = 1 << (len(blocks).bit_length() - 1)
    return ownership.find_owner(str(blocks[depth - 1]), names)


def expect_cached(cached: int, blocks: Sequence[int]) -> int:
    """Returns the tokens assumed cached at a prompt's home engine.

    Args:
        cached: Tokens known to be cached there, the minimum returned.
        blocks: Chained hashes of the prompt.
    """
    depth = 1 << (len(blocks).bit_length() - 1)
    credit = int(depth * BLOCK_CHARS / CHARS_PER_TOKEN * HOME_CREDIT)
    return max(cached, credit)


def hash_blocks(scope: str, text: str) -> tuple[int, ...]:
    """Returns the chained hashes of a prompt's complete blocks.

    Args:
        scope: Key of the cache besides the text: the engine's model.
        text: The prompt as one string.
    """
    previous = xxhash.xxh64_intdigest(scope.encode())
    hashes = []
    whole = min(len(text) // BLOCK_CHARS, MAX_BLOCKS)
    for index in range(whole):
        block = text[index * BLOCK_CHARS : (index + 1) * BLOCK_CHARS]
        # A caller's JSON may hold half of a surrogate pair.
        data = block.encode("utf-8", "surrogatepass")
        previous = xxhash.xxh64_intdigest(data, seed=previous)
        hashes.append(previous)
    return tuple(hashes)


def count_tokens(text: str) -> int:
    """Returns the approximate number of tokens of a text."""
    return max(len(text) // CHARS_PER_TOKEN, 1)
