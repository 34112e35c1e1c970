"""Stand-in for the platform's machine list.

Protocol: ``GET /v1/machines`` lists machines; ``PUT /v1/machines/NAME`` registers or changes
one; ``DELETE /v1/machines/NAME`` removes it.  Changes show after ``lag_s``.
"""

import threading
import time

import msgspec
import urllib3
from werkzeug.wrappers import Request, Response


class Machine(msgspec.Struct):
    """One machine as the list shows it; ``state`` is ``live`` or ``leaving``."""

    name: str
    role: str
    address: str
    zone: str
    pool: str = ""
    state: str = "live"


def put_machine(address: str, machine: Machine) -> bool:
    """Register a machine at the machine list of an address; returns whether it answered."""
    url = f"http://{address}/v1/machines/{machine.name}"
    try:
        body = msgspec.json.encode(machine)
        response = urllib3.request("PUT", url, body=body, retries=False, timeout=2.0)
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200


class MachineListApplication:
    """WSGI application of the machine list."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._shown: dict[str, Machine] = {}
        self._pending: list[tuple[float, str, Machine | None]] = []

    def __call__(self, environ: dict[str, object], start_response: object) -> object:
        """Serve one request."""
        return self._serve(Request(environ))(environ, start_response)  # type: ignore[arg-type]

    def _serve(self, request: Request) -> Response:
        with self._lock:
            if request.method == "GET":
                self._show_due()
                return _json(list(self._shown.values()))
            name = request.path.rsplit("/", 1)[-1]
            machine = None
            if request.method == "PUT":
                machine = msgspec.json.decode(request.get_data(), type=Machine)
            self._pending.append((time.monotonic() + self._lag_s, name, machine))
            return _json({})

    def _show_due(self) -> None:
        now = time.monotonic()
        while self._pending and self._pending[0][0] <= now:
            _due, name, machine = self._pending.pop(0)
            if machine is None:
                self._shown.pop(name, None)
            else:
                self._shown[name] = machine


def _json(value: object) -> Response:
    return Response(msgspec.json.encode(value), mimetype="application/json")
