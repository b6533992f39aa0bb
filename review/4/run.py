"""Workers crash and start again under their id and address, as workers of another kind."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import platform_standin as platform

BOUNDS = {"maxHoldMs": 6000, "revokeMs": 5000, "configApplyMs": 4000, "reclaimMs": 2700,
          "status_s": 120, "graceS": 6}
WORKERS = 24
# srv_crash of tlr-bench-grown: share 0.14, at most 4.5 s.
CRASHING = 3
DOWN_S = (0.4, 1.4)
CRASHES = 10
PAUSE_S = 3.0
TASK_S = 1.0
TASK_CPU = 8000
BIG, SMALL = 64000, 16000


async def case(deployment, trouble):
    record, store = deployment.record, deployment.store
    luck = random.Random(29)

    def plan(_task, _attempt):
        return TASK_S, "done", TASK_CPU

    for index in range(WORKERS):
        kind = "a" if index < CRASHING else "b"
        worker = platform.Worker(store, record, f"w{index + 1}", plan, service="svc", zone="z1",
                                 labels=[kind, f"r{index // 8}"],
                                 capacity={"cpu": BIG, "memMb": 262144, "gpu": 8})
        deployment.workers.append(worker)
        await worker.boot()
        await asyncio.sleep(1.5 / WORKERS)
    store.put("keyed.op", "config", platform.config(1, "q.example", "svc", ["k1"]))
    await deployment.add_daemons(3, BOUNDS)
    await deployment.until_ready()
    crashing = deployment.workers[:CRASHING]
    channel = platform.Channel(deployment.daemons[0].front)
    # Jobs for kind a: more than the workers of that kind can run, so that some always wait.
    for number in range(12):
        job = f"{number + 1:016x}"
        body = {"spec": "x", "steps": [{"count": 100, "cpu": TASK_CPU, "memMb": 1024,
                                        "estimateMs": 1000, "requirements": "a"}]}
        status, _ = await channel.call("POST", f"/q1/{job}", "q.example", "k1", body)
        record.line(f"caller POST {job} {status}")

    async def crash(worker, number):
        await worker.crash()
        await asyncio.sleep(luck.uniform(*DOWN_S))
        # With trouble it comes back as another kind with less room, else as what it was.
        other = trouble and number % 2 == 0
        await worker.boot(["b" if other else "a", worker.labels[-1]],
                          {"cpu": SMALL if other else BIG, "memMb": 262144, "gpu": 8})

    for number in range(CRASHES):
        await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*(crash(worker, number) for worker in crashing))
    await asyncio.sleep(PAUSE_S)
    return [violation for worker in crashing for violation in check(worker)]


def check(worker):
    """ROUTE: a start without the label in `requirements`. LIMIT: a start over the capacity.

    Only starts count that arrived after the planner had got a list of this boot, which names it.
    """
    violations = []
    for run in worker.starts:
        if run["labels"][0] != "a":
            heard = "after" if run["after_list"] else "before"
            text = (f"ROUTE {run['task']}/{run['attempt']} requires label a, started at "
                    f"{run['started']:.3f} on {run['worker']}, born {run['boot']}, with labels "
                    f"{run['labels']}, {heard} the first list of this boot was answered")
            worker.record.line(text)
            if run["after_list"]:
                violations.append(text)
    for run in worker.starts:
        if run["labels"][0] != "a" and run["after_list"]:
            beside = [other for other in worker.starts
                      if other["boot"] == run["boot"] and other["started"] <= run["started"]
                      and other["started"] + TASK_S > run["started"]]
            if sum(other["cpu"] for other in beside) > SMALL:
                violations.append(f"LIMIT {run['task']}/{run['attempt']} started at "
                                  f"{run['started']:.3f}, with {len(beside)} tasks of {TASK_CPU} "
                                  f"on a worker of {SMALL}")
    return violations


platform.main(case, pathlib.Path(__file__).resolve().parent)
