"""System calls that a seccomp filter in the kernel makes fail, for the calling thread until it ends."""

from __future__ import annotations

import ctypes
import os
import platform
import traceback
from collections.abc import Callable, Iterable

SYSCALL_NUMBERS = {
    "x86_64": {"pread64": 17, "pwrite64": 18, "fsync": 74, "fdatasync": 75, "ftruncate": 77, "openat": 257},
    "aarch64": {"pread64": 67, "pwrite64": 68, "fsync": 82, "fdatasync": 83, "ftruncate": 46, "openat": 56},
}[platform.machine()]
PR_SET_SECCOMP, PR_SET_NO_NEW_PRIVS = 22, 38
SECCOMP_MODE_FILTER = 2
SECCOMP_RET_ERRNO, SECCOMP_RET_ALLOW = 0x00050000, 0x7FFF0000
LOAD_NUMBER, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06  # Opcodes of classic BPF.


class Instruction(ctypes.Structure):
    """An instruction of a BPF program (struct sock_filter)."""

    _fields_ = [
        ("code", ctypes.c_ushort),
        ("jump_true", ctypes.c_ubyte),
        ("jump_false", ctypes.c_ubyte),
        ("value", ctypes.c_uint32),
    ]


class Program(ctypes.Structure):
    """A BPF program (struct sock_fprog)."""

    _fields_ = [("length", ctypes.c_ushort), ("filter", ctypes.POINTER(Instruction))]


def fail_calls(names: Iterable[str], error: int) -> None:
    """Make these system calls of the calling thread return the error without any effect, irreversibly."""
    code = [Instruction(LOAD_NUMBER, 0, 0, 0)]
    for name in names:
        code.append(Instruction(JUMP_IF_EQUAL, 0, 1, SYSCALL_NUMBERS[name]))
        code.append(Instruction(RETURN, 0, 0, SECCOMP_RET_ERRNO | error))
    code.append(Instruction(RETURN, 0, 0, SECCOMP_RET_ALLOW))
    program = Program(len(code), (Instruction * len(code))(*code))
    libc = ctypes.CDLL(None, use_errno=True)
    for option, value, pointer in (
        (PR_SET_NO_NEW_PRIVS, 1, None),
        (PR_SET_SECCOMP, SECCOMP_MODE_FILTER, ctypes.byref(program)),
    ):
        if libc.prctl(option, value, pointer, 0, 0):
            raise OSError(ctypes.get_errno(), os.strerror(ctypes.get_errno()))


def run_in_child(task: Callable[[], str]) -> str:
    """Run the task in a forked process and return its result, or its traceback if it raises.

    The process ends without cleanup, as if it were killed.
    """
    read_end, write_end = os.pipe()
    child = os.fork()
    if child == 0:
        try:
            result = task()
        except BaseException:
            result = traceback.format_exc()
        os.write(write_end, result.encode())
        os._exit(0)
    os.close(write_end)
    with os.fdopen(read_end, "rb") as pipe:
        result = pipe.read().decode()
    os.waitpid(child, 0)
    return result
