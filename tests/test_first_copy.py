"""Requests that come before an edge has its first copy of the configuration."""

import time

import pytest

from martenrun.configuration.view import ConfigurationView
from martenrun.edge.first_copy import HOLD_S, longest_hold_s, wait_for_first_copy
from martenrun.edge.forward import CallerLeft

EMPTY = ConfigurationView(0, {})
COPY = ConfigurationView(7, {})


def test_a_request_waits_for_the_first_copy():
    views = iter([EMPTY, EMPTY, COPY])
    first = wait_for_first_copy(lambda: next(views), 60.0, lambda: False)
    assert first.view is COPY and first.held_s > 0
    assert wait_for_first_copy(lambda: COPY, 60.0, lambda: False).held_s == 0


def test_the_wait_is_bounded_and_leaves_time_before_the_deadline():
    began = time.monotonic()
    first = wait_for_first_copy(lambda: EMPTY, 0.1, lambda: False)
    assert first.view is EMPTY and first.held_s <= time.monotonic() - began
    assert longest_hold_s(0.1) < 0.1
    assert longest_hold_s(60.0) == HOLD_S


def test_nobody_waits_for_a_caller_who_has_left():
    with pytest.raises(CallerLeft):
        wait_for_first_copy(lambda: EMPTY, 60.0, lambda: True)
