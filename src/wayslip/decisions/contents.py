"""Content digests: identify requests that ask for the same thing.

Each attempt of a client has its own request id, so retries, and equal requests
of other clients, can be recognised only by their content. Requests with other
contents may still have parts of their prompts in common, which have digests of
their own.
"""

from collections.abc import Iterable
import dataclasses
import hashlib

# Bytes of a digest, enough to make collisions infeasible.
_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """What a request has in common with others.

    Attributes:
        content: Digest of the whole content.
        parts: Digests of the parts of its prompt that others may share.
    """

    content: bytes
    parts: tuple[bytes, ...] = ()


def make_part_digests(
    service: str, part_ids: Iterable[str]
) -> tuple[bytes, ...]:
    """Returns the digests of parts of a prompt, each once.

    They are the same for all organisations: what crashes an engine does so
    whoever sends it, and an answer to any of them clears it.
    """
    return tuple(
        dict.fromkeys(_hash((service.encode(), p.encode())) for p in part_ids)
    )


def make_digest(
    organisation: str,
    host: str,
    method: bytes,
    target: bytes,
    model: str,
    body: bytes,
) -> bytes:
    """Returns the digest of a request's content.

    Args:
        organisation: The sender; requests of different organisations are
            never the same content.
        host: The host that the request is sent to.
        method: The request's method.
        target: The request's path and query.
        model: The model with its adapter, empty for a plain service.
        body: The whole body.
    """
    return _hash(
        (
            organisation.encode(),
            host.encode(),
            method,
            target,
            model.encode(),
            body,
        )
    )


def _hash(texts: Iterable[bytes]) -> bytes:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for text in texts:
        # The length prefix keeps the boundaries between texts unambiguous.
        digest.update(len(text).to_bytes(8, "big"))
        digest.update(text)
    return digest.digest()
