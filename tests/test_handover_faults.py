"""The handover between processes while system calls fail."""

import asyncio
import os
from errno import ENOLCK, ENOSPC, errorcode
from types import SimpleNamespace

import pytest
import uvloop
from loopback import wait_until
from retry_support import RETRY_INTERVAL_S
from system_call_faults import (
    BOTH_LOOPS,
    RESOURCE_SHORTAGE_ERRORS,
    Fault,
    ModuleProxy,
    for_each_error,
    run_scenario_on,
)

from balancer.net.process import handover
from balancer.net.process.handover import Handover

pytestmark = pytest.mark.usefixtures("frequent_retries")


def create_handover(directory, shared_changes):
    """Create the handover of one process, which records each change of `is_shared`."""
    log = SimpleNamespace(line=lambda text: None)
    return Handover(asyncio.get_running_loop(), str(directory), shared_changes.append, log)


@BOTH_LOOPS
@pytest.mark.parametrize(
    ("name", "error"),
    [
        (n, e)
        for n in ("open", "rename", "flock")
        for e in (*RESOURCE_SHORTAGE_ERRORS, ENOLCK)[: 5 if n == "flock" else 4]
    ],
    ids=lambda value: errorcode.get(value, value),
)
def test_start_retries_short_resource_shortage(run, name, error, tmp_path, monkeypatch):
    """After a shortage that lasts for a moment only, the process has all of the limits."""

    async def scenario():
        shared_changes = []
        module = handover.fcntl if name == "flock" else os
        fault = Fault(error, times=2)
        faulty_module = ModuleProxy(module, **{name: fault.wrap(getattr(module, name))})
        monkeypatch.setattr(handover, module.__name__, faulty_module)
        process = create_handover(tmp_path, shared_changes)
        await process.start(lambda: True)
        assert fault.hit_count == 2 and shared_changes == [] and not process.is_shared
        assert os.listdir(tmp_path) == [process.file_name]
        process.close()

    run_scenario_on(run, scenario)


def test_process_keeps_to_half_until_long_shortage_ends(tmp_path, monkeypatch):
    monkeypatch.setattr(handover, "SHRINK_TIMEOUT_S", 3 * RETRY_INTERVAL_S)

    async def scenario():
        shared_changes = []
        fault = Fault(RESOURCE_SHORTAGE_ERRORS[0])
        monkeypatch.setattr(handover, "os", ModuleProxy(os, open=fault.wrap(os.open)))
        process = create_handover(tmp_path, shared_changes)
        await process.start(lambda: True)
        assert shared_changes == [True] and process.is_shared
        fault.deactivate()
        await wait_until(lambda: shared_changes == [True, False])
        process.close()

    run_scenario_on(uvloop.run, scenario)


@BOTH_LOOPS
@pytest.mark.parametrize(
    ("name", "error"),
    [
        (n, e)
        for n in ("listdir", "open", "flock")
        for e in (*RESOURCE_SHORTAGE_ERRORS, ENOLCK)[: 5 if n == "flock" else 4]
    ],
    ids=lambda value: errorcode.get(value, value),
)
def test_failed_poll_keeps_state_of_both_processes(run, name, error, tmp_path, monkeypatch):
    """During a shortage, neither process takes all of the limits because it cannot see the other one."""
    monkeypatch.setattr(handover, "POLL_INTERVAL_S", 0.005)

    async def scenario():
        shared_changes = [], []
        older, younger = (
            create_handover(tmp_path, shared_changes[0]),
            create_handover(tmp_path, shared_changes[1]),
        )
        await older.start(lambda: True)
        await younger.start(lambda: True)
        await wait_until(lambda: older.is_shared and younger.is_shared and older.is_older)
        module = handover.fcntl if name == "flock" else os
        fault = Fault(error)
        faulty_module = ModuleProxy(module, **{name: fault.wrap(getattr(module, name))})
        monkeypatch.setattr(handover, module.__name__, faulty_module)
        await wait_until(lambda: fault.hit_count >= 6)
        assert shared_changes == ([True], [True]) and older.is_older
        fault.deactivate()
        older.close()
        await wait_until(lambda: shared_changes[1] == [True, False])
        younger.close()

    run_scenario_on(run, scenario)


@for_each_error((*RESOURCE_SHORTAGE_ERRORS, ENOSPC))
def test_older_process_retries_failed_marker_write(error, tmp_path, monkeypatch):
    monkeypatch.setattr(handover, "POLL_INTERVAL_S", 0.005)

    async def scenario():
        older, younger = create_handover(tmp_path, []), create_handover(tmp_path, [])
        await older.start(lambda: True)
        fault = Fault(error, times=3)
        monkeypatch.setattr(handover, "os", ModuleProxy(os, pwrite=fault.wrap(os.pwrite)))
        await younger.start(lambda: True)
        assert fault.hit_count == 3 and older.has_reported
        older.close(), younger.close()

    run_scenario_on(uvloop.run, scenario)
