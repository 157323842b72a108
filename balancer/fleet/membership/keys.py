"""The shared keys of a fleet: reading them from files, and authentication of datagrams with them."""

from __future__ import annotations

import hashlib
import stat
from pathlib import Path

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
KEY_ID_BYTES = 4
TAG_BYTES = 16
GROUP_AND_OTHER_PERMISSIONS = 0o077


class InvalidKeyError(Exception):
    """No key is given, a key is too short or too long, or its file is unusable; the message is one line."""


def key_id(key: bytes) -> bytes:
    """Return the identifier of a key in datagrams, which reveals nothing about the key."""
    return hashlib.blake2b(key, digest_size=KEY_ID_BYTES, person=b"mark").digest()


def authentication_tag(key: bytes, data: bytes) -> bytes:
    """Return the keyed BLAKE2b digest of `data`, `TAG_BYTES` long."""
    return hashlib.blake2b(data, digest_size=TAG_BYTES, key=key[:MAX_KEY_BYTES]).digest()


def read_key(path: Path) -> bytes:
    """Read a key from a file that only its owner may access, and strip surrounding white space.

    Raises:
        InvalidKeyError: The file cannot be read, other users may access it, or the key is too short or too
            long.
    """
    try:
        mode = path.stat().st_mode
        key = path.read_bytes().strip()
    except OSError as e:
        raise InvalidKeyError(f"{path}: {e.strerror}") from None
    if stat.S_IMODE(mode) & GROUP_AND_OTHER_PERMISSIONS:
        raise InvalidKeyError(f"{path}: must not be accessible to group and other users: chmod 600 it")
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise InvalidKeyError(
            f"{path}: key has {len(key)} bytes, must have {MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
        )
    return key
