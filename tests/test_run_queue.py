"""The deferred work of a process that can be paused."""

from __future__ import annotations

from functools import partial

from workbench.explore.run_queue import RunQueue


def test_work_is_deferred_in_order_until_the_last_pause_ends() -> None:
    done: list[int] = []
    queue = RunQueue()
    queue.submit(partial(done.append, 0))
    queue.pause()
    queue.pause()
    for number in (1, 2):
        queue.submit(partial(done.append, number))
    queue.resume()
    assert done == [0] and queue.is_paused
    queue.resume()
    assert done == [0, 1, 2] and not queue.is_paused


def test_discarded_work_is_not_run_on_resume() -> None:
    done: list[int] = []
    queue = RunQueue()
    queue.pause()
    queue.submit(partial(done.append, 1))
    queue.discard()
    queue.resume()
    assert done == []
