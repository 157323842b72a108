"""The handover between processes whose system calls fail."""

import asyncio
import os
from errno import ENOLCK, ENOSPC, errorcode
from types import SimpleNamespace

import pytest
import uvloop
from loopback import until
from retry_support import RETRY_INTERVAL_S
from system_call_faults import BOTH_LOOPS, SHORTAGES, Fault, Replaced, play_on, with_each

from balancer.net.process import handover
from balancer.net.process.handover import Handover

pytestmark = pytest.mark.usefixtures("frequent_retries")


def process(folder, shares):
    """One process's side of the agreement."""
    log = SimpleNamespace(line=lambda text: None)
    return Handover(asyncio.get_running_loop(), str(folder), shares.append, log)


@BOTH_LOOPS
@pytest.mark.parametrize(
    ("name", "error"),
    [(n, e) for n in ("open", "rename", "flock") for e in (*SHORTAGES, ENOLCK)[: 5 if n == "flock" else 4]],
    ids=lambda value: errorcode.get(value, value),
)
def test_a_process_joins_though_the_system_is_short(run, name, error, tmp_path, monkeypatch):
    """Failure prevented: a fault of a moment leaves the process with half of the limits for good."""

    async def scene():
        shares = []
        module = handover.fcntl if name == "flock" else os
        fault = Fault(error, times=2)
        faulty = Replaced(module, **{name: fault.before(getattr(module, name))})
        monkeypatch.setattr(handover, module.__name__, faulty)
        one = process(tmp_path, shares)
        await one.start(lambda: True)
        assert fault.met == 2 and shares == [] and not one.shared
        assert os.listdir(tmp_path) == [one.name]
        one.close()

    play_on(run, scene)


def test_a_process_that_cannot_join_for_long_keeps_to_half_until_it_can(tmp_path, monkeypatch):
    monkeypatch.setattr(handover, "SHRINK_TIMEOUT_S", 3 * RETRY_INTERVAL_S)

    async def scene():
        shares = []
        fault = Fault(SHORTAGES[0])
        monkeypatch.setattr(handover, "os", Replaced(os, open=fault.before(os.open)))
        one = process(tmp_path, shares)
        await one.start(lambda: True)
        assert shares == [True] and one.shared
        fault.passes()
        await until(lambda: shares == [True, False])
        one.close()

    play_on(uvloop.run, scene)


@BOTH_LOOPS
@pytest.mark.parametrize(
    ("name", "error"),
    [(n, e) for n in ("listdir", "open", "flock") for e in (*SHORTAGES, ENOLCK)[: 5 if n == "flock" else 4]],
    ids=lambda value: errorcode.get(value, value),
)
def test_a_look_that_fails_is_no_sign_of_being_alone(run, name, error, tmp_path, monkeypatch):
    """Failure prevented: both processes take the whole of the limits while the system is short."""
    monkeypatch.setattr(handover, "POLL_INTERVAL_S", 0.005)

    async def scene():
        shares = [], []
        elder, younger = process(tmp_path, shares[0]), process(tmp_path, shares[1])
        await elder.start(lambda: True)
        await younger.start(lambda: True)
        await until(lambda: elder.shared and younger.shared and elder.is_older)
        module = handover.fcntl if name == "flock" else os
        fault = Fault(error)
        faulty = Replaced(module, **{name: fault.before(getattr(module, name))})
        monkeypatch.setattr(handover, module.__name__, faulty)
        await until(lambda: fault.met >= 6)
        assert shares == ([True], [True]) and elder.is_older
        fault.passes()
        elder.close()
        await until(lambda: shares[1] == [True, False])
        younger.close()

    play_on(run, scene)


@with_each((*SHORTAGES, ENOSPC))
def test_an_elder_says_later_that_it_fits(error, tmp_path, monkeypatch):
    monkeypatch.setattr(handover, "POLL_INTERVAL_S", 0.005)

    async def scene():
        elder, younger = process(tmp_path, []), process(tmp_path, [])
        await elder.start(lambda: True)
        fault = Fault(error, times=3)
        monkeypatch.setattr(handover, "os", Replaced(os, pwrite=fault.before(os.pwrite)))
        await younger.start(lambda: True)
        assert fault.met == 3 and elder.fit_reported
        elder.close(), younger.close()

    play_on(uvloop.run, scene)
