"""The router process: wires up its components, serves requests and stops gracefully."""

import signal
from collections.abc import Callable
from pathlib import Path

from martenrun.errors import SettingsError
from martenrun.net.exchange import Exchange
from martenrun.net.held_memory import HeldMemory
from martenrun.net.http import HttpResponse
from martenrun.net.loop import Loop
from martenrun.net.periodic import PeriodicCall, call_safely
from martenrun.net.server import Server
from martenrun.router.brittle_services import BrittleServices
from martenrun.router.crashes.detector import RunnerView
from martenrun.router.crashes.record_writer import CrashRecordWriter
from martenrun.router.crashes.tracker import CrashTracker
from martenrun.router.forwarded_request import with_room_for_forwarding
from martenrun.router.gauges import GaugeSources, read_gauges
from martenrun.router.instance_check import InstanceCheck
from martenrun.router.internal_interface import InternalInterface
from martenrun.router.lease import Lease
from martenrun.router.load_exchange import LoadExchange
from martenrun.router.log import EVENT_LOG, log_event, log_warning
from martenrun.router.messages import (
    Configuration,
    Dataset,
    HttpCall,
    Route,
    Runner,
)
from martenrun.router.metrics import Metrics
from martenrun.router.origins.store_probe import ProbedStore
from martenrun.router.origins.stored_versions import FleetView, VersionStore
from martenrun.router.partition_monitor import PROBE_TIMEOUT_S, PartitionMonitor
from martenrun.router.peer_addresses import PeerAddressDirectory
from martenrun.router.peer_messages import RouterRecord
from martenrun.router.peer_updates import dispatch_update, updates_for_new_router
from martenrun.router.peers import Peers, first_incarnation
from martenrun.router.placement import Placement
from martenrun.router.planned_stop import PlannedStop
from martenrun.router.platform_adapter import PlatformAdapter, SettingsSource
from martenrun.router.quotas.gate import QuotaGate
from martenrun.router.quotas.owners import AccountOwners
from martenrun.router.request_server import RequestServer
from martenrun.router.request_services import RequestServices
from martenrun.router.router_discovery import RouterDiscovery
from martenrun.router.runner_limits import RunnerLimits
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.runner_responses import record_control_response
from martenrun.router.settings import (
    CALLER_CONNECTIONS_SHARE,
    DIRECTORY_CONNECTIONS_SHARE,
    INTERNAL_CONNECTIONS_SHARE,
    READINESS_CONNECTIONS_SHARE,
    RouterSettings,
)
from martenrun.router.software_history import SoftwareHistory
from martenrun.router.store.client import HttpClient, StoreClient, call_runner
from martenrun.router.store.eras import StoreEras
from martenrun.router.store.feed import StoreStateFeed
from martenrun.router.store.state import ConfigurationState, RunnerDirectory, WeightsState
from martenrun.router.store.sync import MERGE_S, StoreSync, StoreSyncParts
from martenrun.router.stream_software import StreamSoftware
from martenrun.router.tuning import DEFAULTS, TuningParameters, load_tuning_parameters
from martenrun.router.unresponsive_runners import report_unresponsive
from martenrun.router.weights_rollout import WeightsRollout

MAINTENANCE_INTERVAL_S = 0.25
"""Interval of the periodic maintenance, in seconds."""

PROGRESS_INTERVAL_S = 0.25
"""Interval over which the progress of each connection is measured, in seconds."""

ERA_MERGE_S = 2 * MERGE_S
"""How long after the store returned from an older copy it may lack runners that serve, in seconds.

Runners write their entries again within it.
"""

CURRENT_CONFIGURATION_SHARE = 0.6
"""The configuration counts as current up to this share of the bound on revoked keys."""


class RouterProcess:
    """All components of one router."""

    def __init__(
        self,
        source: SettingsSource,
        adapter: PlatformAdapter,
        decisions: TuningParameters = DEFAULTS,
    ) -> None:
        self._settings_source = source
        self._settings_stamp = source.stamp()
        settings = source.load()
        EVENT_LOG.open(settings.name)
        self._loop = Loop()
        self._loop.pacer.set_link_rate(settings.link_bytes_per_s)
        self._memory = HeldMemory(settings.memory_bytes)
        self._eras = StoreEras(self._loop.now)
        self._store = StoreClient(
            HttpClient(self._loop, settings.store_address), adapter.read_era, self._eras
        )
        self._metrics = Metrics(lambda: read_gauges(self._gauge_sources))
        self._stop: PlannedStop | None = None
        self._services = RequestServices(
            loop=self._loop,
            settings=settings,
            adapter=adapter,
            configuration=ConfigurationState(),
            runners=RunnerDirectory(),
            weights=WeightsState(),
            pool=RunnerPool(self._loop),
            placement=Placement(decisions.placement),
            suspects=CrashTracker(
                self._loop,
                self._crash_watch_queries(),
                lambda update: self._peers.broadcast(update),
                lambda state, on_report: self._instance_check.request_report(state, on_report),
                router_count=lambda: self._peers.budget_count(),
                count_closed_response=lambda outcome: self._metrics.count(
                    "closed_responses", outcome=outcome
                ),
            ),
            decisions=decisions,
            retry_slack_from=self._retry_slack_from(settings),
            router_count=lambda: self._peers.budget_count(),
            record_outcome=self._record_outcome,
            is_store_available=lambda _store: True,
            on_prefill_changed=lambda state: self._loads.report_pending_prefill(state),
            refresh_loads=lambda: self._loads.refresh(),
            runner_limits=RunnerLimits(
                lambda update: self._peers.broadcast(update),
                self._on_limit_changed,
                lambda outcome: self._metrics.count("runner_limits", outcome=outcome),
            ),
            body_memory=self._memory.responses,
            brittle=BrittleServices(lambda update: self._peers.broadcast(update)),
            broadcast_drains=lambda update: self._peers.broadcast(update),
            count_notice=lambda notice: self._metrics.count("runner_notices", notice=notice),
        )
        own = RouterRecord(
            address=settings.internal_address,
            incarnation=first_incarnation(),
            heartbeat=0,
            front=settings.front_address,
            zone=settings.zone,
            is_leaving=False,
            is_current=False,
            has_lost_store=False,
            lease_revision=0,
            lease_token=0,
            loads={},
            weights={},
            capacity=settings.capacity,
            keeps_stream_software=True,
        )
        self._peers = Peers(
            self._loop,
            own,
            settings.seeds,
            self._refresh,
            lambda update: dispatch_update(self._services, self._rollout, update),
            self._on_peer_records,
            lambda instance: self._loads.mark_outdated(instance),
            lambda sums: self._loads.merge_zone_loads(sums),
            lambda routers: updates_for_new_router(self._services, routers),
            lambda message: self._quotas.handle_message(message),
            lambda message: self._streams.handle_message(message),
        )
        self._streams = StreamSoftware(
            self._loop,
            self._peers,
            lambda: self._services.runners.runners.values(),
            lambda outcome: self._metrics.count("stream_resumptions", origin=outcome),
            self._create_version_store,
            ProbedStore(
                self._store,
                adapter,
                lambda: self._feed.replicas[Dataset.RUNNERS].position,
                lambda: self._eras.age_s() < ERA_MERGE_S,
            ),
            lambda: self._feed.replicas[Dataset.RUNNERS].age_s(self._loop.now()),
        )
        self._instance_check = self._services.instance_check = InstanceCheck(
            self._loop,
            self._probe_runner,
            adapter.report_request,
            adapter.read_report,
            self._streams.may_be_mixed,
            self._on_runner_restarted,
            lambda state, response: record_control_response(self._services, state, response),
        )
        self._services.record_stream = self._streams.resumption.record_sent
        self._services.record_forwarded = self._streams.resumption.record_forwarded
        self._quotas = self._services.quotas = self._create_quota_gate(settings)
        self._loads = LoadExchange(self._services.pool, self._peers)
        holder = f"{own.address}#{own.incarnation}"
        self._lease = Lease(
            self._loop,
            self._store,
            adapter,
            "weights",
            holder,
            settings.bounds.lease_s,
            lambda: self._services.weights.ages_ms(self._loop.now()),
            lambda ages_ms: self._services.weights.merge_ages(ages_ms, self._loop.now()),
            self._eras,
        )
        self._rollout = WeightsRollout(self._services, self._peers, self._lease)
        self._feed = StoreStateFeed(
            self._services, self._metrics, self._on_runners_updated, self._eras
        )
        self._keeper = StoreSync(
            StoreSyncParts(
                self._loop,
                self._store,
                adapter,
                self._feed.replicas,
                self._peers,
                settings.seeds,
                lambda: self._peer_addresses.has_found_peers(),
            ),
            self._feed.confirm,
        )
        self._blame_store = CrashRecordWriter(
            self._loop,
            self._store,
            adapter,
            self._feed.replicas[Dataset.CRASH_RECORDS],
            self._services.suspects,
            lambda: self._keeper.reads_store,
        )
        self._peer_addresses = PeerAddressDirectory(
            self._loop,
            self._store,
            adapter,
            self._peers,
            lambda: self._keeper.reads_store,
            must_wait=lambda: self._streams.is_creating_object,
        )
        self._eras.on_changed += [self._peer_addresses.begin_era, self._streams.begin_era]
        self._requests = RequestServer(
            self._services, self._store, self._feed, self._streams.resumption
        )
        internal = InternalInterface(
            self._metrics,
            self._services.suspects,
            self._quotas,
            self._keeper.relay,
            self._requests.serve_forwarded,
        )
        discovery = RouterDiscovery(adapter, self._peers, self._refresh, self._is_ready)
        self._front = self._create_server(
            settings.front_address, self._requests.serve, CALLER_CONNECTIONS_SHARE
        )
        self._internal = self._create_server(
            settings.internal_address, internal.serve, INTERNAL_CONNECTIONS_SHARE
        )
        self._create_server(
            settings.ready_address, discovery.serve_ready, READINESS_CONNECTIONS_SHARE
        )
        self._create_server(
            settings.directory_address, discovery.serve_directory, DIRECTORY_CONNECTIONS_SHARE
        )
        self._partitions = PartitionMonitor(
            self._services, self._peers, self._front, self._probe_runner
        )
        self._gauge_sources = GaugeSources(
            self._services,
            self._peers,
            self._keeper,
            self._lease,
            self._eras,
            request_count=lambda: len(self._requests.forwarders),
            connection_count=lambda: self._front.connections,
            stream_origin_count=lambda: self._streams.origin_count,
            memory=self._memory,
        )
        self._services.configuration.on_changed.append(self._on_configuration)
        self._services.weights.on_changed = self._rollout.schedule_step

    def _create_server(
        self, address: str, handler: Callable[[Exchange], None], connections_share: float
    ) -> Server:
        connections = self._services.settings.maximum_connections(connections_share)
        return Server(self._loop, address, handler, connections, self._memory)

    def _create_version_store(self, history: SoftwareHistory) -> VersionStore:
        fleet = FleetView(
            lambda: self._peer_addresses.is_writer and not self._peers.own.is_leaving,
            lambda: self._peer_addresses.was_absent,
            lambda: any(item.knows_software_history for item in self._peers.live()),
        )
        adapter = self._services.adapter
        return VersionStore(self._loop, self._store, adapter, history, fleet)

    def _create_quota_gate(self, settings: RouterSettings) -> QuotaGate:
        """Return the gate that queries the owners of quota accounts and serves its own ones."""
        peers = self._peers
        owners = AccountOwners(
            self._loop.now,
            peers,
            lambda: self._quotas.is_starting() or not self._peer_addresses.is_resolved,
            settings.seeds,
        )
        return QuotaGate(
            self._loop,
            peers,
            settings.internal_address,
            owners,
            lambda: self._services.configuration.version,
            lambda: self._services.settings,
            lambda outcome: self._metrics.count("quota_questions", outcome=outcome),
        )

    def _retry_slack_from(self, settings: RouterSettings) -> float:
        """Return when retries of this router's previous process leave the budget window."""
        return self._loop.now() + (
            0.0 if settings.is_first_start else settings.bounds.budget_window_s
        )

    def _crash_watch_queries(self) -> RunnerView:
        """Return the queries that the crash watch makes to components constructed after it."""
        return RunnerView(
            is_listed=lambda state: self._services.pool.state(state.runner.instance) is state,
            has_restarted=lambda runner: self._services.runners.is_replaced(runner),
            instances_at=lambda address: self._services.runners.instances_at(address),
            has_connection=lambda instance: self._services.pool.has_idle_connection(instance),
            count=lambda: len(self._services.runners.runners),
            has_other_data=lambda instance, since: any(
                state.last_data_at > since and state.runner.instance != instance
                for state in self._services.pool.all_states()
            ),
            other_addresses=lambda instance: self._services.pool.other_addresses(instance),
        )

    def run(self) -> None:
        """Serve until a signal stops the process."""
        self._loop.on_signal(signal.SIGTERM, self._begin_stop)
        self._loop.on_signal(signal.SIGINT, self._begin_stop)
        self._loop.on_signal(signal.SIGHUP, self._reload)
        log_event("started", zone=self._services.settings.zone)
        self._keeper.start()
        self._peers.start()
        self._peer_addresses.start()
        maintain = self._run_maintenance
        PeriodicCall(self._loop, "maintenance", MAINTENANCE_INTERVAL_S, maintain).start()
        end_interval = self._memory.end_interval
        PeriodicCall(self._loop, "held_memory", PROGRESS_INTERVAL_S, end_interval).start()
        self._loads.start(self._loop)
        self._loop.run()
        log_event("stopped")
        EVENT_LOG.flush()

    # Store data

    def _on_configuration(self, configuration: Configuration) -> None:
        self._front.limits = configuration.limits
        self._internal.limits = with_room_for_forwarding(configuration.limits)
        self._services.configuration.merge_versions([(configuration.version, 0)], self._loop.now())
        if self._keeper.reads_store:
            # Routers that are behind must learn this even if they cannot fetch the configuration.
            self._peers.schedule_record_broadcast()

    def _on_runners_updated(self) -> None:
        listed = self._services.runners.runners
        self._services.pool.update(listed)
        forget_limits = self._services.runner_limits.forget_unlisted
        call_safely("runner_limits", forget_limits, listed, self._loop.now())
        self._services.silent_runners.forget_unlisted(set(listed))
        call_safely("crash_records", self._services.suspects.detector.check_replaced)
        call_safely("listed_software", self._streams.record_listed)
        self._rollout.schedule_step()

    # Other routers

    def _refresh(self, own: RouterRecord) -> None:
        own.is_leaving = self._stop is not None
        own.is_current = self._is_current()
        own.has_lost_store = self._keeper.has_lost_store
        own.reads_store = self._keeper.reads_store
        own.has_state = self._keeper.has_state
        position = self._lease.position
        own.lease_revision = 0 if position is None else position.revision
        own.lease_token = 0 if position is None else self._lease.fencing_token
        own.store_era = self._eras.current
        own.weights = self._services.weights.ages_ms(self._loop.now())
        own.configurations = self._services.configuration.versions_in_force(self._loop.now())
        own.loads = self._loads.own_loads()
        own.quota_stage = self._quotas.stage().value
        self._streams.update_record(own)
        self._partitions.update_record(own)

    def _on_limit_changed(self, instance: str) -> None:
        """Make a runner whose rate limit has changed eligible for grants again."""
        state = self._services.pool.state(instance)
        if state is not None:
            state.limited_until = 0.0

    def _on_peer_records(self) -> None:
        self._loads.update_from_records()
        for record, received_at in self._peers.table.timed_records():
            versions = record.configurations
            call_safely(
                "record", self._services.configuration.merge_versions, versions, received_at
            )
            call_safely("record", self._streams.merge_record, record, received_at)
        for record in self._peers.live():
            call_safely("record", self._merge_live_record, record)

    def _merge_live_record(self, record: RouterRecord) -> None:
        self._eras.observe(record.store_era, "gossip")
        self._services.weights.merge_ages(record.weights, self._loop.now())
        self._lease.record_holder(record)

    def _on_runner_restarted(self, runner: Runner) -> None:
        """Handle a runner that has restarted before its entry says so."""
        self._streams.record_restart(runner)
        self._requests.run_maintenance(self._loop.now())

    # Requests

    def _record_outcome(self, outcome: str, route: Route, seconds: float) -> None:
        self._metrics.count("requests", outcome=outcome, kind=route.kind.value)
        self._metrics.time("request", seconds, kind=route.kind.value)

    def _probe_runner(
        self, address: str, call: HttpCall, on_response: Callable[[HttpResponse | None], None]
    ) -> None:
        call_runner(self._loop, address, call, PROBE_TIMEOUT_S, on_response)

    # Readiness

    def _is_current(self) -> bool:
        age_s = self._services.configuration.age_s(self._loop.now())
        return age_s < self._services.settings.bounds.revoke_s * CURRENT_CONFIGURATION_SHARE

    def _is_ready(self) -> bool:
        if self._services.configuration.table is None or self._stop is not None:
            return False
        return self._feed.replicas[Dataset.RUNNERS].is_loaded

    # Reload and stop

    def _reload(self) -> None:
        """Apply changed settings; invalid ones are logged and the last valid ones stay in use."""
        self._settings_stamp = self._settings_source.stamp()
        try:
            settings = self._settings_source.load()
        except SettingsError as exc:
            log_warning("settings_faulty", fault=exc.message[:200], remedy=exc.remedy)
            return
        self._services.replace_settings(settings)
        self._loop.pacer.set_link_rate(settings.link_bytes_per_s)
        log_event("settings_read")

    def _begin_stop(self) -> None:
        if self._stop is not None:
            return
        self._stop = PlannedStop(self._loop.now(), self._services.settings.bounds.grace_s)
        self._requests.stop = self._stop
        log_event("stopping", requests=len(self._requests.forwarders))
        self._front.is_draining = True
        self._rollout.stop_by(self._stop.closes_idle_at)
        self._peers.broadcast_record()

    def _run_maintenance(self) -> None:
        now = self._loop.now()
        call_safely("partitions", self._partitions.run_maintenance, now)
        call_safely("requests", self._requests.run_maintenance, now)
        call_safely("load_reports", self._loads.repeat_reports)
        call_safely("unresponsive_runners", report_unresponsive, self._services, self._peers, now)
        call_safely("crash_records", self._services.suspects.run_maintenance)
        call_safely("runner_limits", self._services.runner_limits.repeat_broadcasts, now)
        call_safely("stored_crash_records", self._blame_store.write_if_due)
        call_safely("quotas", self._quotas.run_maintenance)
        call_safely("streams", self._streams.run_maintenance)
        call_safely("settings", self._reload_if_changed)
        self._rollout.schedule_step()
        EVENT_LOG.flush()
        if self._stop is not None:
            self._continue_stop(self._stop, now)

    def _reload_if_changed(self) -> None:
        if self._settings_source.stamp() != self._settings_stamp:
            self._reload()

    def _continue_stop(self, stop: PlannedStop, now: float) -> None:
        if now > stop.aborts_at:
            log_warning("grace_over", requests=len(self._requests.forwarders))
            for forwarder in list(self._requests.forwarders):
                forwarder.shut_down()
            self._loop.call_later(0.2, self._loop.stop)
        elif now > stop.closes_idle_at:
            self._front.shut_down_idle()
            is_idle = not self._requests.forwarders and self._front.connections == 0
            if is_idle and not self._services.suspects.detector.is_investigating():
                self._loop.stop()


def run_router(source: SettingsSource, adapter: PlatformAdapter, decisions: Path) -> None:
    """Run a router until it is stopped; raises SettingsError if it cannot start.

    Args:
        decisions: an optional file of tuning parameters that override the defaults of
            :mod:`martenrun.router.tuning`.
    """
    RouterProcess(source, adapter, load_tuning_parameters(decisions)).run()
