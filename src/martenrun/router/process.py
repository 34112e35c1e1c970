"""The router process: builds its parts, serves, and ends without cutting a request off."""

import signal
from pathlib import Path

from martenrun.errors import SettingsError
from martenrun.net.loop import Loop
from martenrun.net.server import Exchange, Server
from martenrun.router.admission import Admission, Refusal, refuse
from martenrun.router.contacts import ContactDirectory
from martenrun.router.crash_detector import RunnerView
from martenrun.router.crash_record_writer import CrashRecordWriter
from martenrun.router.crash_tracker import CrashTracker
from martenrun.router.decisions import DEFAULTS, Decisions, load_decisions
from martenrun.router.denials import Denials
from martenrun.router.dialect import Dialect, SettingsSource
from martenrun.router.entry import Entry
from martenrun.router.figures import FigureSources, read_samples
from martenrun.router.forwarding import Forwarding
from martenrun.router.internal_interface import InternalInterface
from martenrun.router.keeper import Keeper, KeeperParts
from martenrun.router.knowledge import (
    ConfigurationKnowledge,
    RunnerDirectory,
    WeightsKnowledge,
)
from martenrun.router.knowledge_feed import KnowledgeFeed
from martenrun.router.lease import Lease
from martenrun.router.loads import LoadExchange
from martenrun.router.log import EVENT_LOG, log_event, log_trouble
from martenrun.router.messages import Admitted, Configuration, Dataset, LeaseRecord, Route
from martenrun.router.metrics import Metrics
from martenrun.router.news import newcomer_news, take_news
from martenrun.router.peer_messages import RouterRecord, SilenceNews
from martenrun.router.peers import Peers, first_incarnation
from martenrun.router.placement import Placement
from martenrun.router.planned_stop import PlannedStop
from martenrun.router.quotas.gate import QuotaGate
from martenrun.router.quotas.owners import AccountOwners
from martenrun.router.runner_limits import RunnerLimits
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.settings import RouterSettings
from martenrun.router.silence import newly_silent, take_silence
from martenrun.router.store_client import HttpCaller
from martenrun.router.weights_roll import WeightsRoller
from martenrun.router.world import World

CALLERS_SHARE = 0.6
"""Share of the process's descriptors that callers' connections may take."""

HOUSEKEEPING_S = 0.25
"""How often slow matters are looked at, in seconds."""

CURRENT_SHARE = 0.6
"""Share of the bound on revoked keys up to which the configuration counts as current."""


class RouterProcess:
    """All parts of one router."""

    def __init__(
        self, source: SettingsSource, dialect: Dialect, decisions: Decisions = DEFAULTS
    ) -> None:
        self._source = source
        self._stamp = source.stamp()
        settings = source.load()
        EVENT_LOG.open(settings.name)
        self._loop = Loop()
        self._loop.pacer.set_link(settings.link_bytes_per_s)
        self._store = HttpCaller(self._loop, settings.store_address)
        self._metrics = Metrics(lambda: read_samples(self._figures))
        self._forwardings: set[Forwarding] = set()
        self._stop: PlannedStop | None = None
        self._world = World(
            loop=self._loop,
            settings=settings,
            dialect=dialect,
            configuration=ConfigurationKnowledge(),
            runners=RunnerDirectory(),
            weights=WeightsKnowledge(),
            pool=RunnerPool(self._loop),
            placement=Placement(decisions.placement),
            suspects=CrashTracker(
                self._loop, self._runner_knowledge(), lambda news: self._peers.tell_all(news)
            ),
            decisions=decisions,
            spends_from=self._spends_from(settings),
            node_count=lambda: self._peers.budget_count(),
            count=self._count,
            store_works=lambda _store: True,
            note_reading=lambda state: self._loads.note_reading(state),
            refresh_loads=lambda: self._loads.refresh(),
            runner_limits=RunnerLimits(
                lambda news: self._peers.tell_all(news),
                self._on_limit_changed,
                lambda outcome: self._metrics.count("runner_limits", outcome=outcome),
            ),
        )
        self._admission = Admission(self._world)
        own = RouterRecord(
            address=settings.internal_address,
            incarnation=first_incarnation(),
            beat=0,
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
        )
        self._peers = Peers(
            self._loop,
            own,
            settings.seeds,
            self._refresh,
            lambda news: take_news(self._world, self._roller, news),
            self._on_records,
            lambda instance: self._loads.take_reading(instance),
            lambda sums: self._loads.take_sums(sums),
            lambda routers: newcomer_news(self._world, routers),
            lambda message: self._quotas.handle_message(message),
        )
        self._quotas = self._world.quotas = self._quota_gate(settings)
        self._loads = LoadExchange(self._world.pool, self._peers)
        holder = f"{own.address}#{own.incarnation}"
        self._lease = Lease(
            self._loop,
            self._store,
            dialect,
            "weights",
            holder,
            settings.bounds.lease_s,
            lambda: self._world.weights.ages_ms(self._loop.now()),
            lambda ages_ms: self._world.weights.learn_ages(ages_ms, self._loop.now()),
        )
        self._roller = WeightsRoller(self._world, self._peers, self._lease)
        self._feed = KnowledgeFeed(self._world, self._metrics, self._on_runners_settled)
        self._keeper = Keeper(
            KeeperParts(
                self._loop, self._store, dialect, self._feed.copies, self._peers, settings.seeds
            ),
            self._feed.confirm,
        )
        self._blame_store = CrashRecordWriter(
            self._loop,
            self._store,
            dialect,
            self._feed.copies[Dataset.BLAME],
            self._world.suspects,
            lambda: self._keeper.reads_store,
        )
        self._contacts = ContactDirectory(
            self._loop, self._store, dialect, self._peers, lambda: self._keeper.reads_store
        )
        self._denials = Denials(
            self._world, self._admission, self._store, self._feed, self._forward
        )
        internal = InternalInterface(
            self._metrics, self._world.suspects, self._quotas, self._keeper.relay
        )
        entry = Entry(dialect, self._peers, self._refresh, self._is_ready)
        self._front = Server(
            self._loop,
            settings.front_address,
            self._serve,
            int(settings.maximum_descriptors * CALLERS_SHARE),
        )
        self._others = [
            Server(self._loop, settings.ready_address, entry.serve_ready),
            Server(self._loop, settings.directory_address, entry.serve_directory),
            Server(self._loop, settings.internal_address, internal.serve),
        ]
        self._figures = FigureSources(
            self._world,
            self._peers,
            self._keeper,
            self._lease,
            requests=lambda: len(self._forwardings),
            connections=lambda: self._front.connections,
        )
        self._world.configuration.on_changed.append(self._on_configuration)
        self._world.weights.on_changed = self._roller.check

    def _quota_gate(self, settings: RouterSettings) -> QuotaGate:
        """Return what asks the routers that keep tenants' accounts, and answers for its own."""
        peers = self._peers
        owners = AccountOwners(
            self._loop.now,
            peers,
            lambda: self._quotas.is_starting() or not self._contacts.is_resolved,
            settings.seeds,
        )
        return QuotaGate(
            self._loop,
            peers,
            settings.internal_address,
            owners,
            lambda: self._world.configuration.version,
            lambda: self._world.settings,
            lambda word: self._metrics.count("quota_questions", outcome=word),
        )

    def _spends_from(self, settings: RouterSettings) -> float:
        """Return when nothing spent by an earlier process of this router counts any more."""
        return self._loop.now() + (
            0.0 if settings.is_first_start else settings.bounds.budget_window_s
        )

    def _runner_knowledge(self) -> RunnerView:
        """Return what the watch for runners that end asks of the parts made after it."""
        return RunnerView(
            is_listed=lambda state: self._world.pool.state(state.runner.instance) is state,
            has_restarted=lambda runner: self._world.runners.has_ended(runner),
            instances_at=lambda address: self._world.runners.listed_at(address),
            has_connection=lambda instance: self._world.pool.has_kept(instance),
            count=lambda: len(self._world.runners.runners),
        )

    def run(self) -> None:
        """Serve until a signal has ended the process."""
        self._loop.on_signal(signal.SIGTERM, self._begin_stop)
        self._loop.on_signal(signal.SIGINT, self._begin_stop)
        self._loop.on_signal(signal.SIGHUP, self._reload)
        log_event("started", zone=self._world.settings.zone)
        self._keeper.start()
        self._peers.start()
        self._contacts.start()
        self._keep_house()
        self._tell_sums()
        self._loop.run()
        log_event("stopped")
        EVENT_LOG.flush()

    # Knowledge

    def _on_configuration(self, configuration: Configuration) -> None:
        self._front.limits = configuration.limits
        self._world.configuration.hear([(configuration.version, 0)], self._loop.now())
        if self._keeper.reads_store:
            # Who is behind must know it, also if it cannot get the configuration itself.
            self._peers.tell_soon()

    def _on_runners_settled(self) -> None:
        self._world.pool.update(self._world.runners.runners)
        self._world.runner_limits.forget_unlisted(self._world.runners.runners, self._loop.now())
        self._world.suspects.detector.check_replaced()
        self._roller.check()

    # Peers

    def _refresh(self, own: RouterRecord) -> None:
        own.is_leaving = self._stop is not None
        own.is_current = self._is_current()
        own.has_lost_store = self._keeper.has_lost_store
        own.reads_store = self._keeper.reads_store
        own.lease_revision = self._lease.revision
        own.lease_token = self._lease.fencing_token if own.lease_revision else 0
        own.weights = self._world.weights.ages_ms(self._loop.now())
        own.configurations = self._world.configuration.told(self._loop.now())
        own.loads = self._loads.own_loads()
        own.quota_stage = self._quotas.stage().value

    def _on_limit_changed(self, instance: str) -> None:
        """Make a runner whose rate limit has changed eligible for grants again."""
        state = self._world.pool.state(instance)
        if state is not None:
            state.limited_until = 0.0

    def _on_records(self) -> None:
        self._loads.take_records()
        for record, told_at in self._peers.table.told():
            self._world.configuration.hear(record.configurations, told_at)
        for record in self._peers.live():
            self._world.weights.learn_ages(record.weights, self._loop.now())
            if record.lease_revision:
                holder = f"{record.address}#{record.incarnation}"
                self._lease.note_revision(
                    LeaseRecord(holder, record.lease_token), record.lease_revision
                )

    def _tell_sums(self) -> None:
        self._loop.call_later(self._loads.tell_sums(), self._tell_sums)

    # Requests

    def _serve(self, exchange: Exchange) -> None:
        call = self._admission.read(exchange)
        if isinstance(call, Refusal):
            refuse(exchange, call, None)
            return
        decision = self._admission.decide(exchange, call)
        if isinstance(decision, Admitted):
            self._forward(exchange, decision)
        elif decision.status in (401, 404):
            self._denials.look_again(exchange, call)
        else:
            refuse(exchange, decision, call)

    def _forward(self, exchange: Exchange, admitted: Admitted) -> None:
        received_at = exchange.request.received_at
        if self._stop is not None and not self._stop.may_take(admitted, received_at):
            refuse(exchange, Refusal(503, "stopping"), admitted.call)
            return
        self._world.budget(admitted.service).note_request(self._loop.now())
        forwarding = Forwarding(self._world, exchange, admitted, self._forwardings.discard)
        self._forwardings.add(forwarding)
        forwarding.start()

    def _count(self, outcome: str, route: Route, seconds: float) -> None:
        self._metrics.count("requests", outcome=outcome, kind=route.kind.value)
        self._metrics.time("request", seconds, kind=route.kind.value)

    # Entry

    def _is_current(self) -> bool:
        age_s = self._world.configuration.age_s(self._loop.now())
        return age_s < self._world.settings.bounds.revoke_s * CURRENT_SHARE

    def _is_ready(self) -> bool:
        if self._world.configuration.table is None or self._stop is not None:
            return False
        return self._feed.copies[Dataset.RUNNERS].is_known

    # Ends

    def _reload(self) -> None:
        """Put changed settings in force; faulty ones are logged and the last good ones stay."""
        self._stamp = self._source.stamp()
        try:
            settings = self._source.load()
        except SettingsError as exc:
            log_trouble("settings_faulty", fault=exc.message[:200], remedy=exc.remedy)
            return
        self._world.replace_settings(settings)
        self._loop.pacer.set_link(settings.link_bytes_per_s)
        log_event("settings_read")

    def _begin_stop(self) -> None:
        if self._stop is not None:
            return
        self._stop = PlannedStop(self._loop.now(), self._world.settings.bounds.grace_s)
        log_event("stopping", requests=len(self._forwardings))
        self._front.is_draining = True
        self._roller.end_by(self._stop.lingers_until)
        self._peers.tell_now()

    def _keep_house(self) -> None:
        now = self._loop.now()
        for forwarding in list(self._forwardings):
            forwarding.leave_old_weights(now)
            forwarding.leave_ended_runner()
        self._loads.tell_again()
        for instance in newly_silent(self._world, now):
            news = SilenceNews(self._peers.own.address, instance)
            take_silence(self._world, news, now)
            self._peers.tell_all(news)
        self._world.suspects.run_maintenance()
        self._world.runner_limits.tell_again(now)
        self._blame_store.write_if_due()
        self._quotas.run_maintenance()
        self._roller.check()
        if self._source.stamp() != self._stamp:
            self._reload()
        EVENT_LOG.flush()
        if self._stop is not None:
            self._go_on_stopping(self._stop, now)
        self._loop.call_later(HOUSEKEEPING_S, self._keep_house)

    def _go_on_stopping(self, stop: PlannedStop, now: float) -> None:
        if now > stop.ends_at:
            log_trouble("grace_over", requests=len(self._forwardings))
            for forwarding in list(self._forwardings):
                forwarding.shut_down()
            self._loop.call_later(0.2, self._loop.stop)
        elif now > stop.lingers_until:
            self._front.end_idle()
            is_idle = not self._forwardings and self._front.connections == 0
            if is_idle and not self._world.suspects.detector.is_investigating():
                self._loop.stop()


def run_router(source: SettingsSource, dialect: Dialect, decisions: Path) -> None:
    """Run a router until it is stopped; raises SettingsError if it cannot begin.

    Args:
        decisions: a file of figures that override those of :mod:`martenrun.router.decisions`; it
            may be missing.
    """
    RouterProcess(source, dialect, load_decisions(decisions)).run()
