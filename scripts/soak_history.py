"""Collects what a run of the soak left behind."""

from collections.abc import Sequence

from platform_deployment import PlatformDeployment
from soak_callers import DEADLY_PART, Callers, Lookers, is_deadly
from soak_faults import Faults

from martenrun.platform.standins.runner import RunnerStandin
from martenrun.proof.router_records import (
    CrashRecord,
    LimitArrival,
    NoticeArrival,
    OrderRecord,
    RouterHistory,
    RunRecord,
)


def history_of(
    deployment: PlatformDeployment, faults: Faults, callers: Callers, lookers: Lookers
) -> RouterHistory:
    """Return what a run left behind, but for streams and software versions."""
    runners = [*deployment.runners, *faults.retired]
    ends = {(runner.instance, end.request_id): end.at for runner in runners for end in runner.ends}
    arrivals = _notice_arrivals(deployment, runners)
    senders = {(item.instance, item.request_id): item.router for item in arrivals}
    return RouterHistory(
        calls=callers.calls,
        runs=[
            RunRecord(
                run.request_id,
                run.instance,
                run.at,
                run.tenant,
                ends.get((run.instance, run.request_id)),
                f"{run.method} {run.path}",
                run.body.decode() if is_deadly(run.body) else "",
                senders.get((run.instance, run.request_id), ""),
                next((part for part in run.parts if part.startswith(DEADLY_PART)), ""),
            )
            for runner in runners
            for run in runner.runs
        ],
        orders=[
            OrderRecord(
                runner.instance,
                str(order["holder"]),
                int(str(order["fence_token"])),
                float(str(order["taken_at"])),
            )
            for runner in runners
            for order in [*runner.previous_orders, *runner.orders]
        ],
        revocations=faults.revocations,
        departures=faults.departures,
        troubles=faults.open_troubles(),
        events_of_stream=runners[0].events,
        lives=faults.all_lives(),
        directory=lookers.answers,
        tries=lookers.tries,
        crashes=[
            CrashRecord(crash.request_id, crash.at)
            for runner in runners
            for crash in runner.crashes
        ],
        limit_arrivals=[
            LimitArrival(
                arrival.request_id,
                arrival.instance,
                arrival.born_ms,
                arrival.at,
                float(arrival.limit),
            )
            for runner in runners
            for arrival in runner.arrivals
            if arrival.limit is not None
        ],
        partitions=faults.partitions,
        notice_arrivals=arrivals,
        suspensions=faults.suspensions,
        harmed_links=faults.harmed_links,
    )


def _notice_arrivals(
    deployment: PlatformDeployment, runners: Sequence[RunnerStandin]
) -> list[NoticeArrival]:
    """Return all arrivals at runners, if relays show which router sent each of them."""
    if not deployment.has_links:
        return []
    return [
        NoticeArrival(
            arrival.request_id,
            deployment.front_by_ip.get(arrival.source, ""),
            arrival.instance,
            arrival.born_ms,
            arrival.at,
            arrival.announces_drain,
            None if arrival.retry_after is None else float(arrival.retry_after),
        )
        for runner in runners
        for arrival in runner.arrivals
    ]
