"""The load of a simulated history: callers of two tenants with long shared prompts."""

import hashlib
import random
from dataclasses import dataclass

import msgspec

from martenrun.proof.edges import source_of
from martenrun.proof.history import RequestInvoked
from martenrun.proof.processes import SimulatedProcess
from martenrun.proof.recorder import Recorder
from martenrun.simulation.scheduler import Scheduler

TENANTS = ("growers", "stallholders")
MODEL = "model"
DEADLINE_S = 10.0
_PREFIXES = 4
_HOT_SHARE = 0.6
_NON_REPEATABLE_SHARE = 0.35


def key_of(tenant: str) -> str:
    """Return a tenant's API key."""
    return f"{tenant}-key"


def key_sha256(key: str) -> str:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass
class _Call:
    tenant: str
    prompt: str
    output_tokens: int
    repeatable: bool
    idempotency_key: str


class Callers:
    """Sends requests to edges at random times.

    ``hot_prefix`` is asked for most; changing it is a hot shift.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        recorder: Recorder,
        rng: random.Random,
        edges: list[SimulatedProcess],
        copy_share: float,
    ) -> None:
        self.hot_prefix = 0
        self.sent = 0
        self._scheduler = scheduler
        self._recorder = recorder
        self._rng = rng
        self._edges = edges
        self._copy_share = copy_share

    def run(self, requests_per_s: float, until_s: float) -> None:
        """Send requests until a virtual time."""
        if self._scheduler.now >= until_s:
            return
        self._send_drawn()
        pause_s = self._rng.expovariate(requests_per_s)
        self._scheduler.after(pause_s, lambda: self.run(requests_per_s, until_s))

    def probe(self, edge: SimulatedProcess) -> None:
        """Send one repeatable request to an edge."""
        self._send(edge, self._drawn_call(repeatable=True))

    def _send_drawn(self) -> None:
        rng = self._rng
        call = self._drawn_call(repeatable=rng.random() >= _NON_REPEATABLE_SHARE)
        self._send(rng.choice(self._edges), call)
        if not call.repeatable and rng.random() < self._copy_share:
            delay_s = rng.choice((0.0, 0.05, 1.0, 4.0))
            edge = rng.choice(self._edges)
            self._scheduler.after(delay_s, lambda: self._send(edge, call))

    def _drawn_call(self, repeatable: bool) -> _Call:
        rng = self._rng
        is_hot = rng.random() < _HOT_SHARE
        prefix = self.hot_prefix if is_hot else rng.randrange(_PREFIXES)
        blocks = 2 + 3 * (prefix % 3)
        prompt = f"prefix {prefix} ".ljust(64 * blocks, "n") + f"question {self.sent}"
        idempotency_key = "" if repeatable else f"key-{self.sent}"
        return _Call(rng.choice(TENANTS), prompt, rng.randint(1, 12), repeatable, idempotency_key)

    def _send(self, edge: SimulatedProcess, call: _Call) -> None:
        self.sent += 1
        request_id = f"request-{self.sent}"
        self._recorder.add(
            RequestInvoked(
                time_s=self._scheduler.now,
                request_id=request_id,
                edge=edge.name,
                tenant=call.tenant,
                source=source_of(call.prompt),
                output_tokens=call.output_tokens,
                repeatable=call.repeatable,
                idempotency_key=call.idempotency_key,
                deadline_s=DEADLINE_S,
            )
        )
        body = {
            "model": MODEL,
            "prompt": call.prompt,
            "max_tokens": call.output_tokens,
            "stream": True,
        }
        headers = {
            "Authorization": f"Bearer {key_of(call.tenant)}",
            "X-Request-Id": request_id,
            "X-Repeatable": str(call.repeatable).lower(),
            "X-Deadline-Seconds": str(DEADLINE_S),
        }
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        edge.request(headers, msgspec.json.encode(body))
