"""More than 500 ends on one worker while the planner is replaced."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import platform_standin as platform

TASKS = 640
JOB = "00000000000000a1"
BOUNDS = {"maxHoldMs": 6000, "revokeMs": 5000, "configApplyMs": 4000, "reclaimMs": 2700,
          "status_s": 120, "graceS": 6}
RESTART_S = 1.0


async def case(deployment, trouble):
    record, store = deployment.record, deployment.store
    luck = random.Random(29)

    def plan(_task, attempt):
        # The first run of each task takes 0.5 to 1.0 s, a later one 1 s.
        return (luck.uniform(0.5, 1.0) if attempt == 1 else 1.0), "done", 100

    for index in range(3):
        worker = platform.Worker(store, record, f"w{index + 1}", plan, service="svc", zone="z1",
                                 labels=["a", "r1"],
                                 capacity={"cpu": 64000, "memMb": 262144, "gpu": 8})
        deployment.workers.append(worker)
        await worker.boot()
    store.put("keyed.op", "config", platform.config(1, "q.example", "svc", ["k1"]))
    await deployment.add_daemons(3, BOUNDS)
    await deployment.until_ready()
    planner = deployment.find(store.planner())
    caller = next(daemon for daemon in deployment.daemons if daemon is not planner)
    channel = platform.Channel(caller.front)
    job = {"spec": "x", "steps": [{"count": TASKS, "cpu": 100, "memMb": 64, "estimateMs": 800}]}
    status, _ = await channel.call("POST", f"/q1/{JOB}", "q.example", "k1", job)
    record.line(f"caller POST {JOB} {status}")
    if status != 200:
        raise RuntimeError("the job was not accepted")
    for _ in range(400):
        if sum(len(worker.starts) for worker in deployment.workers) >= TASKS:
            break
        await asyncio.sleep(0.01)
    record.line(f"starts: {[len(worker.starts) for worker in deployment.workers]}")
    if trouble:
        await asyncio.sleep(0.05)
        planner.signal(signal.SIGKILL)
        await planner.process.wait()
        await asyncio.sleep(RESTART_S)
        await planner.start()
    state = None
    for _ in range(300):
        status, body = await channel.call("GET", f"/q1/{JOB}", "q.example", "k1")
        state = (status, body)
        if body == {"state": "completed"}:
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(3)
    record.line(f"caller GET {JOB} {state}")
    return check(deployment)


def check(deployment):
    """TWICE: a start after a run has ended done, if that end is taken note of then or later."""
    starts = [run for worker in deployment.workers for run in worker.starts]
    ends = [end for worker in deployment.workers for end in worker.ends]
    done = {end["task"]: end for end in ends
            if end["how"] == "done" and end["noted_at"] is not None and not end["lease_lapsed"]}
    violations = []
    for run in starts:
        end = done.get(run["task"])
        if end and end["attempt"] < run["attempt"] and run["started"] > end["at"]:
            violations.append(
                f"TWICE {run['task']}/{run['attempt']} started on {run['worker']} at "
                f"{run['started']:.3f}; run {end['attempt']} had ended done at {end['at']:.3f}, "
                f"noted at {end['noted_at']:.3f}")
    return violations


platform.main(case, pathlib.Path(__file__).resolve().parent)
