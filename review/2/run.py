"""Case 2: after wrong bytes in one event, a stream goes on without the events just before it.

Three model runners serve streams that may be resumed.  One of them hands out wrong bytes: in a few
of its streams one event is spoiled, in the same write as the sound events before it.
"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.deployment import LIMIT_S, Answer, CannotRunError, Deployment, Record  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEADLINE_MS = 5_000
RUNNERS = 3
SPOILED_SHARE = 0.02
TROUBLE_S = 5.5
PAUSE_S = 0.02
EVENTS = 12
EVENTS_AT_ONCE = 3


def configuration() -> dict:
    """Return the operator's configuration: one route of streams that may be resumed."""
    route = {
        "name": "check",
        "hostname": "api.example",
        "path_prefix": "/check/",
        "kind": "stream",
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": 800,
        "priority": 1,
        "service": "llm",
        "max_attempts": 2,
        "no_auth": False,
        "sticky": True,
        "resumable": True,
        "gap_target_ms": 500,
    }
    engine = {
        "slots": 48,
        "kv_capacity_tokens": 107_924,
        "kv_token_bytes": 163_840,
        "link_mbps": 740_000.0,
        "max_inflight": 12,
        "models": [{"name": "m"}],
    }
    service = {"name": "llm", "health_path": "/healthz", "max_connections": 300, "engine": engine}
    tenant = {"name": "stalls", "api_keys": ["key-1"], "priority": 1, "isolated": False}
    return {"version": 1, "routes": [route], "services": [service], "tenants": [tenant]}


async def play(record: Record) -> dict[str, Answer]:
    """Play the case; return the clients' answers."""
    async with Deployment(2, record) as deployment:
        await deployment.store.put("config", "main", configuration())
        await deployment.store.put("versions", "m", {"model": "m", "version": 1})
        runners = [
            await deployment.start_runner(
                instance=f"i-llm-{number}",
                service="llm",
                model="m",
                slots=48,
                queue=144,
                events=EVENTS,
                pause_ms=30,
                events_at_once=EVENTS_AT_ONCE,
                spoiled_share=SPOILED_SHARE,
            )
            for number in range(1, RUNNERS + 1)
        ]
        await deployment.start_routers()
        await runners[0].tell(f"faulty {int(HAS_TROUBLE)}")
        tasks = {}
        for number in range(int(TROUBLE_S / PAUSE_S)):
            tasks[f"stream-{number}"] = asyncio.create_task(ask(deployment, number))
            await asyncio.sleep(PAUSE_S)
        return {name: await task for name, task in tasks.items()}


async def ask(deployment: Deployment, number: int) -> Answer:
    """Send one request for a stream."""
    router = deployment.routers[number % len(deployment.routers)]
    fields = {
        "X_Model_Id": "m",
        "X_Token_Usage": "826,73",
        "X_Prefix_Hash": f"aa:119,bb{number:04x}:707",
    }
    name = f"stream-{number}"
    return await deployment.ask(router, "POST", "/check/a", name, DEADLINE_MS, b"prompt", **fields)


def pieces(answer: Answer) -> list[int]:
    """Return the ids of the events in an answer."""
    lines = answer.body.decode("latin-1").split("\n")
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def verdict(answers: dict[str, Answer]) -> tuple[int, list[str]]:
    """Judge ORDER: no stream misses a piece, has one twice or ends before its last one."""
    faults, whole = [], 0
    for name, answer in answers.items():
        got = pieces(answer)
        is_gapless = got == list(range(1, len(got) + 1))
        whole += answer.is_complete and is_gapless and len(got) == EVENTS
        if not is_gapless or (answer.is_complete and answer.status == 200 and len(got) != EVENTS):
            faults.append(f"ORDER {name}: pieces {got}, complete: {answer.is_complete}")
    if whole < len(answers) / 2:
        return 2, ["less than half was served", *faults]
    return (1 if faults else 0), faults


def main() -> int:
    """Play and judge the case; return the exit status."""
    record = Record()
    try:
        answers = asyncio.run(asyncio.wait_for(play(record), LIMIT_S))
        status, faults = verdict(answers)
    except (CannotRunError, OSError, asyncio.CancelledError) as exc:
        answers, status, faults = {}, 2, [f"cannot run: {exc!r}"]
    complete = sum(answer.is_complete for answer in answers.values())
    text = "\n".join([f"answers {len(answers)}, complete {complete}", *faults, f"exit {status}"])
    record.write(HERE / "record.txt", text)
    print(text)
    return status


if __name__ == "__main__":
    sys.exit(main())
