"""Disk errors, and function calls that fail with them."""

import errno
import os
from types import ModuleType
from typing import Any

import pytest

DISK_ERRORS = (errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EROFS, errno.ENFILE)


def fail_call(
    patch: pytest.MonkeyPatch, module: ModuleType, name: str, code: int, after: bool = False
) -> None:
    """Make a function of a module raise OSError with this code.

    With `after` the real function is called first, so that the kernel has already carried out the operation.
    """
    real = getattr(module, name)

    def failing(*args: Any, **kwargs: Any) -> None:
        if after:
            real(*args, **kwargs)
        raise OSError(code, os.strerror(code))

    patch.setattr(module, name, failing)
