"""Operators of a simulated history: publish the first objects and race with changes."""

import random

import msgspec
from werkzeug.test import Client

from martenrun.errors import ChangeOutcomeUnknownError
from martenrun.proof.callers import MODEL, TENANTS, key_of, key_sha256
from martenrun.proof.history import ConfigurationAccepted, RemovalUnknown
from martenrun.proof.processes import SimulatedNode
from martenrun.proof.recorder import Recorder
from martenrun.simulation.scheduler import Scheduler

ADMIN_KEY = "admin-key"
GUEST = "tenants/guest"
FLOOR = 1
"""Runners of the pool that go on serving while others load."""


class Operators:
    """Publish objects through the administration API of any node.

    Attributes:
        newest_accepted: revision of the newest change that was accepted.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        recorder: Recorder,
        rng: random.Random,
        nodes: list[SimulatedNode],
    ) -> None:
        self._scheduler = scheduler
        self._recorder = recorder
        self._rng = rng
        self._nodes = nodes
        self._versions: dict[str, int] = {}
        self._weights = 1
        self.newest_accepted = 0

    def publish_all(self) -> None:
        """Publish tenants, their keys, a pool and a route."""
        for tenant in TENANTS:
            self._apply("tenants", tenant, {"weight": 1.0})
            digest = key_sha256(key_of(tenant))
            self._apply("keys", f"{tenant}-key", {"tenant": tenant, "key_sha256": digest})
        self._publish_pool()
        self._apply("routes", "route", {"model": MODEL, "pool": "pool"})

    def roll(self) -> None:
        """Publish the pool with the next weights version."""
        self._weights += 1
        self._publish_pool()

    def _publish_pool(self) -> None:
        pool = {
            "model": MODEL,
            "weights_version": self.weights_version,
            "block_bytes": 64,
            "floor": FLOOR,
        }
        self._apply("pools", "pool", pool)

    @property
    def weights_version(self) -> str:
        """The weights version published last, accepted or not."""
        return f"v{self._weights}"

    def race(self) -> None:
        """Change one tenant twice at the same time; make or remove another one."""
        self._toggle_guest()
        tenant = self._rng.choice(TENANTS)
        known = self._versions
        expected = known.get(f"tenants/{tenant}", 0)
        for _ in range(2):
            weight = self._rng.randint(1, 9)
            known[f"tenants/{tenant}"] = expected
            self._apply("tenants", tenant, {"weight": weight})

    def _toggle_guest(self) -> None:
        if self._versions.get(GUEST):
            self._change(GUEST, None)
        else:
            self._change(GUEST, {"weight": 1.0})

    def _apply(self, kind: str, name: str, document: dict[str, object]) -> None:
        self._change(f"{kind}/{name}", document)

    def _change(self, subject: str, document: dict[str, object] | None) -> None:
        serving = [node for node in self._nodes if node.is_serving]
        if not serving:
            return
        expected = self._versions.get(subject, 0)
        client = self._rng.choice(serving).administration(key_sha256(ADMIN_KEY))
        response = client.open(
            f"/admin/v1/{subject}",
            method="DELETE" if document is None else "PUT",
            data=msgspec.json.encode(document),
            headers={"Authorization": f"Bearer {ADMIN_KEY}", "If-Match": str(expected)},
        )
        if response.status_code != 200:
            self._note_failure(subject, document, msgspec.json.decode(response.data))
            self._learn_version(client, subject)
            return
        version = int(msgspec.json.decode(response.data)["version"])
        self.newest_accepted = max(self.newest_accepted, version)
        self._versions[subject] = 0 if document is None else version
        self._recorder.add(
            ConfigurationAccepted(
                time_s=self._scheduler.now,
                revision=version,
                subject=subject,
                expected=expected,
                removed=document is None,
            )
        )

    def _note_failure(
        self, subject: str, document: dict[str, object] | None, failure: dict[str, dict[str, str]]
    ) -> None:
        if document is None and failure["error"]["code"] == ChangeOutcomeUnknownError.code:
            self._recorder.add(RemovalUnknown(time_s=self._scheduler.now, subject=subject))

    def _learn_version(self, client: Client, subject: str) -> None:
        """Read back an object whose change was refused or whose answer was lost."""
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
        response = client.get(f"/admin/v1/{subject}", headers=headers)
        if response.status_code == 200:
            self._versions[subject] = int(msgspec.json.decode(response.data)["version"])
        elif response.status_code == 404:
            self._versions[subject] = 0
