"""Weights, adapters and role of the stand-in engine, and carrying out orders for them.

Loading new weights refuses new requests, lets running ones end, forgets the prefix cache and
reads the weight store.  A newer order gives up an unfinished load.
"""

import enum
import threading
from collections.abc import Callable

import urllib3
from urllib3.exceptions import HTTPError

from martenrun.standins.engine.orders import FenceGuard, Order, OrderAction, Role
from martenrun.standins.engine.refusals import RefusalCode, RefusedError
from martenrun.standins.engine.scheduler import Batch
from martenrun.standins.engine.settings import EngineSettings

_READ_TIMEOUT_S = 30.0
_CHECK_TIMEOUT_S = 5.0
_READ_BYTES = 16 * 1024


class ServingState(enum.StrEnum):
    """Whether the engine takes requests."""

    SERVING = "serving"
    DRAINING = "draining"
    LOADING = "loading"
    FAILED = "failed"


def _no_other_model(model: str, version: str) -> None:
    """Stand for an engine that can change its model; this one can not."""


class Weights:
    """What one incarnation holds and which load is under way.

    Args:
        settings: names the model, the first version and the weight store.
        batch: emptied before weights change.
        clear_cache: forgets the prefix cache.
        is_dead: set when the engine crashes or changes its model; ends a load.
        begin_model: begins another incarnation, which loads a version of another model.
    """

    def __init__(
        self,
        settings: EngineSettings,
        batch: Batch,
        clear_cache: Callable[[], None],
        is_dead: threading.Event,
        begin_model: Callable[[str, str], None] = _no_other_model,
    ) -> None:
        self.version = settings.weights_version
        self.state = ServingState.SERVING
        self.target_version = settings.weights_version
        self._target_model = settings.model
        self.role = Role.MIXED
        self.adapters: list[str] = []
        self._settings = settings
        self._batch = batch
        self._clear_cache = clear_cache
        self._is_dead = is_dead
        self._begin_model = begin_model
        self._loads = 0
        self._lock = threading.Lock()
        self._loading = threading.Lock()

    def refusal(self, expected_version: str) -> RefusedError | None:
        """Return why a request that expects a version is not run, or None."""
        if self.state is not ServingState.SERVING:
            message = f"the engine is {self.state.value}"
            return RefusedError(RefusalCode.NOT_SERVING, message)
        if expected_version and expected_version != self.version:
            message = f"the engine's weights version is {self.version}"
            return RefusedError(RefusalCode.ANOTHER_VERSION, message)
        return None

    def carry_out(self, order: Order, guard: FenceGuard) -> None:
        """Take an order; loads go on in the background; raises RefusedError."""
        if order.action is OrderAction.SET_ROLE and order.value not in set(Role):
            raise RefusedError(RefusalCode.INVALID, f"unknown role {order.value!r}")
        with self._lock:
            self._check_alive()
            if not guard.check(order):
                return
            if order.action is OrderAction.SET_ROLE:
                self.role = Role(order.value)
            elif order.action is OrderAction.LOAD_WEIGHTS:
                self._order_weights(self._settings.model, order.value)
            elif order.action is OrderAction.LOAD_MODEL:
                self._order_weights(order.model, order.value)
            elif order.value not in self.adapters:
                self._check_exists(self._settings.model, order.value)
                self._start(self._load_adapter, order.value)
            guard.accept(order)

    def start_loading(self, version: str) -> None:
        """Load a version first, in an incarnation that begins with it."""
        self.target_version = version
        self.version = ""
        self.state = ServingState.LOADING
        self._start(self._load_weights, version, self._loads)

    def _check_alive(self) -> None:
        if self._is_dead.is_set():
            message = "the engine has begun another incarnation"
            raise RefusedError(RefusalCode.ANOTHER_INCARNATION, message)

    def _order_weights(self, model: str, version: str) -> None:
        is_under_way = self.state in (ServingState.DRAINING, ServingState.LOADING)
        is_target = (self._target_model, self.target_version) == (model, version)
        is_same_model = model == self._settings.model
        is_held = self.state is ServingState.SERVING and self.version == version
        if (is_held and is_same_model) or (is_under_way and is_target):
            return
        self._check_exists(model, version)
        self._target_model = model
        self.target_version = version
        self.state = ServingState.DRAINING
        self._loads += 1
        if is_same_model:
            self._start(self._load_weights, version, self._loads)
        else:
            self._start(self._change_model, model, version, self._loads)

    @staticmethod
    def _start(target: Callable[..., None], *arguments: object) -> None:
        threading.Thread(target=target, args=arguments, name="load", daemon=True).start()

    def _load_weights(self, version: str, load: int) -> None:
        def is_given_up() -> bool:
            return self._is_dead.is_set() or load != self._loads

        with self._loading:
            if is_given_up() or not self._batch.wait_empty(is_given_up):
                return
            self._clear_cache()
            self.version = ""
            self.state = ServingState.LOADING
            is_loaded = self._fetch(version, is_given_up)
            state = ServingState.SERVING if is_loaded else ServingState.FAILED
            self._end(load, version if is_loaded else "", state)

    def _change_model(self, model: str, version: str, load: int) -> None:
        def is_given_up() -> bool:
            return self._is_dead.is_set() or load != self._loads

        with self._loading:
            if is_given_up() or not self._batch.wait_empty(is_given_up):
                return
            with self._lock:
                if not is_given_up():
                    self._begin_model(model, version)

    def _end(self, load: int, version: str, state: ServingState) -> None:
        with self._lock:
            if load == self._loads:
                self.version = version
                self.state = state

    def _load_adapter(self, name: str) -> None:
        if self._fetch(name, self._is_dead.is_set):
            with self._lock:
                self.adapters = sorted({*self.adapters, name})

    def _url(self, model: str, name: str) -> str:
        return f"http://{self._settings.weight_store}/v1/weights/{model}/{name}"

    def _check_exists(self, model: str, name: str) -> None:
        try:
            response = urllib3.request(
                "HEAD", self._url(model, name), retries=False, timeout=_CHECK_TIMEOUT_S
            )
        except HTTPError as error:
            message = f"the weight store did not answer: {error}"
            raise RefusedError(RefusalCode.STORE_UNAVAILABLE, message) from error
        if response.status != 200:
            message = f"the weight store answered {response.status} to {name!r}"
            code = RefusalCode.INVALID if response.status == 404 else RefusalCode.STORE_UNAVAILABLE
            raise RefusedError(code, message)

    def _fetch(self, name: str, is_given_up: Callable[[], bool]) -> bool:
        """Read weights from the store; closing the connection early ends the store's work."""
        try:
            response = urllib3.request(
                "GET",
                self._url(self._settings.model, name),
                retries=False,
                preload_content=False,
                timeout=_READ_TIMEOUT_S,
            )
            try:
                for _data in response.stream(_READ_BYTES):
                    if is_given_up():
                        return False
                return response.status == 200
            finally:
                response.close()
        except HTTPError:
            return False
