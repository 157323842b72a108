"""Child processes that the kernel kills when their parent ends, however the parent ends."""

from __future__ import annotations

import os
import sys

# Source of a process that requests SIGKILL at its parent's death (prctl PR_SET_PDEATHSIG) and then executes
# the command. It is a small process of its own because a `preexec_fn` makes Popen copy the memory map of the
# calling process when it forks, which delays the caller.
LAUNCHER_SOURCE = """
import ctypes, os, sys
parent = int(sys.argv[1])
ctypes.CDLL(None).prctl(1, 9)
if os.getppid() == parent:
    try:
        os.execvp(sys.argv[2], sys.argv[2:])
    except OSError as e:
        sys.exit(f"{sys.argv[2]}: {e.strerror}")
"""


def wrap_with_parent_death_signal(command: list[str]) -> list[str]:
    """Return a command line that runs a command, which gets SIGKILL when the thread that started it ends."""
    return [sys.executable, "-I", "-S", "-c", LAUNCHER_SOURCE, str(os.getpid()), *command]
