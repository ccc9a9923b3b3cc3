"""Content digests: identify requests that ask for the same thing.

Each attempt of a client has its own request id, so retries, and equal requests
of other clients, can be recognised only by their content.
"""

import hashlib

# Bytes of a digest, enough to make collisions infeasible.
_DIGEST_BYTES = 16


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
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (
        organisation.encode(),
        host.encode(),
        method,
        target,
        model.encode(),
        body,
    ):
        # The length prefix keeps the boundaries between parts unambiguous.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
