"""Watches the processes of a deployment and collects the records of a run."""

import threading
import time
from dataclasses import dataclass, field

import urllib3
from proved_deployment import ProvedDeployment

from martenrun.proof.history import (
    AnyRecord,
    ConfigurationInForce,
    History,
    ProcessStarted,
)

SIGHTING_INTERVAL_S = 0.2
_SIGHTING_TIMEOUT_S = 1.0


@dataclass
class Recorder:
    """Collects records from several threads; the observer's clock is the monotonic one."""

    records: list[AnyRecord] = field(default_factory=list)

    def add(self, record: AnyRecord) -> None:
        """Add a record."""
        self.records.append(record)

    def history(self) -> History:
        """Return everything recorded, in order of time."""
        ordered = sorted(self.records, key=lambda record: record.time_s)
        return History(ordered, time.monotonic())


class ConfigurationWatch:
    """Sees, from a thread for each edge, which revision it has in force.

    The digest of the contents is not known at ``/readyz`` and stays empty.
    """

    def __init__(self, deployment: ProvedDeployment, recorder: Recorder) -> None:
        self._deployment = deployment
        self._recorder = recorder
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(name,), daemon=True)
            for name in deployment.edges()
        ]

    def __enter__(self) -> "ConfigurationWatch":
        for name in self._deployment.edges():
            is_node = name.startswith("node-")
            self._recorder.add(
                ProcessStarted(
                    time_s=time.monotonic(), process=name, restarted=False, is_node=is_node
                )
            )
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_error: object) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _watch(self, name: str) -> None:
        while not self._stopping.wait(SIGHTING_INTERVAL_S):
            before = self._deployment.processes[name].pid
            revision = self._revision(name)
            if revision is not None and before == self._deployment.processes[name].pid:
                self._recorder.add(
                    ConfigurationInForce(
                        time_s=time.monotonic(),
                        process=name,
                        incarnation=str(before),
                        revision=revision,
                        digest="",
                    )
                )

    def _revision(self, name: str) -> int | None:
        url = f"http://{self._deployment.address_of(name)}/readyz"
        try:
            response = urllib3.request("GET", url, retries=False, timeout=_SIGHTING_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return None
        return int(response.json()["revision"]) if response.status == 200 else None
