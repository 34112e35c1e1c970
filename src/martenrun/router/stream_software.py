"""One router's part in keeping streams at the software version that began them."""

from collections.abc import Callable, Iterable

from martenrun.net.loop import Loop
from martenrun.net.periodic import call_safely
from martenrun.router.messages import Runner, unknown_software
from martenrun.router.origins.exchange import OriginExchange
from martenrun.router.origins.messages import RunnerRestart, SoftwareMessage, VersionMessage
from martenrun.router.origins.owners import OriginOwners
from martenrun.router.origins.store_probe import ProbedStore
from martenrun.router.origins.stored_versions import VersionStore
from martenrun.router.origins.version_check import VersionCheck
from martenrun.router.peer_messages import RouterRecord
from martenrun.router.peers import Peers
from martenrun.router.software_history import SoftwareHistory
from martenrun.router.stream_resumption import StreamResumption


class StreamSoftware:
    """The software versions of runners, the origins of streams, and their use for resumed streams.

    Args:
        runners: returns the listed runners.
        count: counts how the software version of a resumed stream was found.
        make_version_store: returns the access to the stored versions for the history.
        store: the store as it is asked for versions that this router has missed.
        list_age_s: returns the age of the list of runners in seconds.

    Attributes:
        resumption: finds the software version of resumed streams.
    """

    def __init__(
        self,
        loop: Loop,
        peers: Peers,
        runners: Callable[[], Iterable[Runner]],
        count: Callable[[str], None],
        make_version_store: Callable[[SoftwareHistory], VersionStore],
        store: ProbedStore,
        list_age_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._runners = runners
        self._history = SoftwareHistory()
        self._versions = make_version_store(self._history)
        owners = OriginOwners(loop.now, peers)
        self._check = VersionCheck(
            loop, peers, self._history, lambda: self._versions.knows_past, store
        )
        self._origins = OriginExchange(loop, peers, peers.own.address, owners, self._needs_origins)
        self.resumption = StreamResumption(
            loop,
            self._history,
            self._origins,
            self.may_be_mixed,
            count,
            lambda: self._versions.knows_past,
            list_age_s,
            self._check.confirm,
        )

    @property
    def origin_count(self) -> int:
        """Number of streams whose origins this router keeps."""
        return len(self._origins)

    def handle_message(self, message: SoftwareMessage) -> None:
        """Handle a message from another router."""
        if isinstance(message, RunnerRestart):
            self._history.record_version(message.service, message.software, self._loop.now())
        elif isinstance(message, VersionMessage):
            self._check.handle_message(message)
        else:
            self._origins.handle_message(message)

    def update_record(self, own: RouterRecord) -> None:
        """Set what other routers need to know about software versions."""
        own.software_versions = self._history.ages(self._loop.now())
        own.knows_software_history = self._versions.is_informed
        self._check.update_record(own)

    def merge_record(self, record: RouterRecord, received_at: float) -> None:
        """Merge what another router knows about software versions."""
        self._history.merge(record.software_versions, received_at)

    def record_listed(self) -> None:
        """Record the software versions of the listed runners."""
        self._history.record_listed(self._runners(), self._loop.now())

    def record_restart(self, runner: Runner) -> None:
        """Record that a runner has restarted while its entry still describes the former start.

        Other routers learn at once that several versions may serve: a stream that the runner began
        may be resumed at any of them.
        """
        software = unknown_software(runner)
        if self._history.record_version(runner.service, software, self._loop.now()):
            message = RunnerRestart(runner.service, software)
            self._peers.send(self._peers.table.addresses(), message)

    def run_maintenance(self) -> None:
        """Forget old versions and expired origins; share origins with new owners."""
        call_safely("listed_software", self.record_listed)
        call_safely("version_check", self._check.run_maintenance)
        call_safely("stored_versions", self._versions.run_maintenance)
        call_safely("stream_origins", self._origins.run_maintenance)

    def may_be_mixed(self, service: str) -> bool:
        """Return whether several software versions of a service may have served lately.

        A router that has just started does not know those that have left.
        """
        is_known = self._versions.knows_past and self._peers.is_settled()
        return not is_known or len(self._history.versions(service)) > 1

    def _needs_origins(self, service: str) -> bool:
        """Return whether a stream's version may have to be known to resume it.

        While the store does not respond, no router can confirm that a sole version serves.
        """
        return not self._check.is_available or self.may_be_mixed(service)

    @property
    def is_creating_object(self) -> bool:
        """Whether this router is about to store the versions of a new deployment."""
        return self._versions.is_pending

    def begin_era(self, before: int) -> None:
        """Store the versions again if the store has returned from an older copy."""
        self._versions.begin_era(before)
