"""Driver threads that carry out SendOrder."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from martenrun.backends.engine_orders import EngineOrders
from martenrun.events import Event, OrderAnswered, SendOrder

ORDER_WORKERS = 4
"""Orders on their way at a time, per process."""


class OrderWorkers:
    """Sends orders to engines and tells the loop what became of them."""

    def __init__(self, orders: EngineOrders, tell: Callable[[Event], None]) -> None:
        self._orders = orders
        self._tell = tell
        self._threads = ThreadPoolExecutor(ORDER_WORKERS, thread_name_prefix="orders")

    def carry(self, instruction: SendOrder) -> None:
        """Start sending an order; its OrderAnswered follows."""
        self._threads.submit(self._send, instruction)

    def stop(self) -> None:
        """Wait for no further orders."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _send(self, instruction: SendOrder) -> None:
        outcome = self._orders.send(instruction.address, instruction.order)
        self._tell(OrderAnswered(instruction.runner, instruction.order, outcome))
