"""The shared keys of a fleet: reading them from files, and authenticating datagrams with them."""

from __future__ import annotations

import hashlib
import stat
from pathlib import Path

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
KEY_ID_BYTES = 4
TAG_BYTES = 16
ACCESS_OF_OTHERS = 0o077  # permission bits of a file's group and of all other users


class InvalidKeyError(Exception):
    """A key is too short or too long, or its file cannot be used. The message is one line for the user."""


def key_id(key: bytes) -> bytes:
    """Returns the identifier that names a key in datagrams without revealing anything about it."""
    return hashlib.blake2b(key, digest_size=KEY_ID_BYTES, person=b"mark").digest()


def authentication_tag(key: bytes, data: bytes) -> bytes:
    """Returns the keyed BLAKE2b digest of `data`, `TAG_BYTES` long."""
    return hashlib.blake2b(data, digest_size=TAG_BYTES, key=key[:MAX_KEY_BYTES]).digest()


def read_key(path: Path) -> bytes:
    """Reads a key, without surrounding white space, from a file that only its owner may access.

    Raises:
        InvalidKeyError: The file cannot be read, other users may access it, or the key's length is wrong.
    """
    try:
        mode = path.stat().st_mode
        key = path.read_bytes().strip()
    except OSError as e:
        raise InvalidKeyError(f"{path}: {e.strerror}") from None
    if stat.S_IMODE(mode) & ACCESS_OF_OTHERS:
        raise InvalidKeyError(f"{path}: others may read it: chmod 600 it")
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise InvalidKeyError(
            f"{path}: a key has {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, this one {len(key)}"
        )
    return key
