"""Commands that end when this process does, however that ends."""

from __future__ import annotations

import os
import sys

# Becomes the command, once the kernel knows to kill it with its parent. In a small process of its own: a hook
# of Popen's between fork and exec would copy this process's memory map and delay it.
LAUNCHER = """
import ctypes, os, sys
parent = int(sys.argv[1])
ctypes.CDLL(None).prctl(1, 9)
if os.getppid() == parent:
    try:
        os.execvp(sys.argv[2], sys.argv[2:])
    except OSError as e:
        sys.exit(f"{sys.argv[2]}: {e.strerror}")
"""


def killed_with_parent(command: list[str]) -> list[str]:
    """Returns a command line that runs the command and gets SIGKILL when the thread that starts it ends."""
    return [sys.executable, "-I", "-S", "-c", LAUNCHER, str(os.getpid()), *command]
