"""An operator who changes the configuration of a deployment while faults hit it."""

import json
import time

import urllib3
from deployment import ADMIN_KEY
from process_recorder import Recorder
from proved_deployment import ProvedDeployment

from martenrun.proof.history import ConfigurationAccepted
from martenrun.proof.process_schedule import TENANTS

_KIND = "tenants"
_TIMEOUT_S = 3.0


class Operator:
    """Changes a tenant's weight; only changes that were answered count as accepted."""

    def __init__(self, deployment: ProvedDeployment) -> None:
        self._deployment = deployment
        self._weight = 1

    def change(self, recorder: Recorder) -> bool:
        """Make one change at the first node that answers; returns whether it was accepted."""
        for edge in self._deployment.node_edges:
            try:
                return self._change_at(edge, recorder)
            except urllib3.exceptions.HTTPError:
                continue
        return False

    def _change_at(self, edge: str, recorder: Recorder) -> bool:
        path = f"/admin/v1/{_KIND}/{TENANTS[0]}"
        present = _call("GET", edge, path)
        if present.status != 200:
            return False
        version = int(present.json()["version"])
        self._weight += 1
        body = json.dumps({"weight": float(self._weight)}).encode()
        answer = _call("PUT", edge, path, body, {"If-Match": str(version)})
        if answer.status != 200:
            return False
        revision = int(answer.json()["version"])
        self._deployment.revision = max(self._deployment.revision, revision)
        subject = f"{_KIND}/{TENANTS[0]}"
        recorder.add(
            ConfigurationAccepted(
                time_s=time.monotonic(), revision=revision, subject=subject, expected=version
            )
        )
        return True


def _call(
    method: str,
    edge: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        method,
        f"http://{edge}{path}",
        body=body,
        headers={"Authorization": f"Bearer {ADMIN_KEY}"} | (headers or {}),
        timeout=_TIMEOUT_S,
        retries=False,
    )
