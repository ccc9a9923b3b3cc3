"""What makes one request the same as another: its content.

Each attempt of a client has an id of its own, so a client that asks again, or
another one that asks the same, is told by what is asked for.
"""

import hashlib

# Bytes of a digest: nobody finds two contents with the same one.
_DIGEST_BYTES = 16


def make_digest(
    organisation: str,
    host: str,
    method: bytes,
    target: bytes,
    model: str,
    body: bytes,
) -> bytes:
    """Returns the digest of what a request asks for.

    Args:
        organisation: Who asks; what one sends says nothing of another's.
        host: That it is sent to.
        method: Of the request.
        target: Its path and query.
        model: With its adapter, empty where the service is plain.
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
        # With its length each part ends where it ends, whatever is in it.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
