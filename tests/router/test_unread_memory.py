"""Connections whose callers read least are reset when unread responses use up the memory."""

import pytest

from martenrun.net.unread_memory import UnreadMemory, UnreadOutput

BUDGET = 1_000


class Outputs:
    """Outputs of some connections, and which of them were reset."""

    def __init__(self):
        self.memory = UnreadMemory(BUDGET)
        self.reset = []

    def open(self, name, size):
        def reset():
            self.reset.append(name)
            output.set_size(0)

        output = UnreadOutput(self.memory, reset)
        output.set_size(size)
        return output


@pytest.fixture
def outputs():
    return Outputs()


# Guards against callers that read nothing and have others reset in their place.
def test_connection_that_is_not_read_is_reset_first(outputs):
    unread, reading = outputs.open("unread", 300), outputs.open("reading", 600)
    outputs.memory.end_interval()
    reading.set_size(400)
    outputs.memory.end_interval()
    reading.set_size(800)
    assert outputs.reset == ["unread"]
    assert (unread.size, outputs.memory.size) == (0, 800)


def test_new_connection_is_not_reset_for_one_that_is_not_read(outputs):
    outputs.open("unread", 600)
    for _ in range(2):
        outputs.memory.end_interval()
    outputs.open("new", 600)
    assert outputs.reset == ["unread"]


def test_fullest_connection_is_reset_among_equals(outputs):
    for name, size in (("small", 300), ("large", 500), ("last", 300)):
        outputs.open(name, size)
    assert outputs.reset == ["large"]


def test_sole_response_larger_than_the_budget_is_sent(outputs):
    output = outputs.open("sole", 2 * BUDGET)
    assert outputs.reset == []
    output.set_size(0)
    assert outputs.memory.size == 0
