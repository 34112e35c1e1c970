"""The thread that watches callers sleeps without them, and misses none."""

import threading

from deployment import wait_until

from martenrun.edge.watch import CallerWatch, WatchedCaller


def test_the_watch_sleeps_while_no_request_runs_and_wakes_for_each(monkeypatch):
    watch, looks = CallerWatch(), []
    look = watch.look
    monkeypatch.setattr(watch, "look", lambda: (looks.append(1), look()))
    watch.start()
    for number in range(5):
        left = threading.Event()
        wait_until(lambda: not watch._has_callers.is_set(), "sleep", 10)
        seen = len(looks)
        watch.add(str(number), WatchedCaller(lambda: True, left.set, lambda: None))
        assert left.wait(10)
        assert len(looks) > seen or number == 0
    watch.stop()
    watch._thread.join(10)
    assert not watch._thread.is_alive()


def test_a_watch_that_sleeps_can_be_stopped():
    watch = CallerWatch()
    watch.start()
    wait_until(lambda: not watch._has_callers.is_set(), "sleep", 10)
    watch.stop()
    watch._thread.join(10)
    assert not watch._thread.is_alive()
