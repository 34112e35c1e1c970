"""Requests that arrive slowest give way when the memory of a process is used up."""

import pytest

from martenrun.net.request_memory import REQUEST_BYTES, SMALL_REQUEST_BYTES, RequestMemory

LARGE = 4 * SMALL_REQUEST_BYTES
BUDGET = 3 * LARGE
SMALL_BUDGET = LARGE
PIECE = 65_536


class Requests:
    """Requests side by side, and which of them were refused."""

    def __init__(self):
        self.memory = RequestMemory(BUDGET, SMALL_BUDGET)
        self.refused = []
        self._now = 0.0

    def begin(self, name, size=0):
        self._now += 1.0
        buffer = self.memory.begin(lambda _buffer: self.refused.append(name), self._now)
        if size:
            buffer.add(size)
        return buffer


@pytest.fixture
def requests():
    return Requests()


# Guards against connections that stop short of the end and keep all others out.
def test_requests_that_stopped_arriving_give_way_to_one_that_arrives(requests):
    for number in range(2):
        requests.begin(f"stopped {number}", LARGE)
    requests.memory.end_interval()
    arriving = requests.begin("arriving")
    for _ in range(BUDGET // PIECE):
        arriving.add(PIECE)
        requests.memory.end_interval()
    assert requests.refused == ["stopped 1", "stopped 0"]
    assert requests.memory.size == arriving.size


def test_slower_request_gives_way(requests):
    slow, fast = requests.begin("slow"), requests.begin("fast")
    for _ in range(BUDGET // PIECE):
        fast.add(PIECE)
        slow.add(PIECE // 4)
        requests.memory.end_interval()
    assert requests.refused == ["slow"]


# Guards against crowds in which every request is refused shortly before its end.
def test_newest_request_gives_way_among_equals(requests):
    buffers = [requests.begin(number) for number in range(6)]
    for _ in range(LARGE // PIECE - 1):
        for buffer in buffers:
            if buffer.size:
                buffer.add(PIECE)
    assert requests.refused == [5, 4, 3]


def test_small_requests_are_received_while_large_ones_use_their_budget(requests):
    served = requests.begin("served", BUDGET)
    served.begin_service()
    small = [requests.begin(f"small {number}", 100_000) for number in range(8)]
    requests.begin("large", SMALL_REQUEST_BYTES + 1)
    assert requests.refused == ["large"]
    assert all(buffer.size for buffer in small)


# Guards against many small requests, each of which is within its limits.
def test_small_requests_are_bounded_together(requests):
    for number in range(200):
        requests.begin(number, SMALL_REQUEST_BYTES - REQUEST_BYTES)
    assert requests.memory.size <= BUDGET + SMALL_BUDGET
    assert requests.refused


def test_sole_request_larger_than_the_budget_is_received(requests):
    for number in range(3):
        requests.begin(f"small {number}", 1_000)
    large = requests.begin("large", 2 * BUDGET)
    assert requests.refused == []
    assert large.size


def test_released_requests_are_not_counted(requests):
    complete, refused = requests.begin("complete", LARGE), requests.begin("refused")
    complete.begin_service()
    refused.add(BUDGET)
    assert requests.refused == ["refused"]
    complete.release()
    complete.release()
    assert requests.memory.size == 0
