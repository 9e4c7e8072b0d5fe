"""API keys: creation, hashing and parsing of the header."""

import hashlib
import secrets

KEY_PREFIX = "ik-"
KEY_RANDOM_BYTES = 24


def create() -> str:
    """Returns a new random key, of which only the hash may be stored."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_RANDOM_BYTES)


def digest(key: str) -> str:
    """Returns the SHA-256 hash of a key in hexadecimal.

    Keys have 192 random bits, so a fast hash without salt resists guessing.

    >>> digest("ik-x")[:8]
    '80b1c321'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def from_header(value: str | None) -> str | None:
    """Returns the key in the value of an Authorization header.

    >>> from_header("Bearer ik-1")
    'ik-1'
    >>> from_header("Basic eDp5") is None
    True
    """
    if value is None:
        return None
    scheme, _, key = value.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return key.strip()
