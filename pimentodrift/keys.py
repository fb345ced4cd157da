"""Callers' keys: `new-key` makes them, and operators' files list their digests.

A key has 256 random bits, so a fast hash is enough: guessing a key is infeasible
regardless of the hash's cost.
"""

import secrets
from hashlib import sha256

from attrs import frozen

KEY_PREFIX = "pd_"
KEY_BYTES = 32  # 43 characters of URL-safe base64.


@frozen
class NewKey:
    """A key, which is shown once, and the digest that an operators' file lists."""

    text: str
    digest: str


def new_key() -> NewKey:
    """Make a key from the operating system's random numbers."""
    text = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    return NewKey(text, digest(text))


def digest(key: str) -> str:
    """Return the SHA-256 digest of a key in hex."""
    return sha256(key.encode()).hexdigest()
