"""A key is taken away while the store turns one machine away, with a large configuration."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import platform_standin as platform

HOST_NAME = "q.example"
REVOKED, KEPT = "key-to-be-taken-away", "key-that-stays"
BOUNDS = {"maxHoldMs": 6000, "revokeMs": 5000, "configApplyMs": 4000, "reclaimMs": 2700,
          "status_s": 120, "graceS": 6}
REVOKE_S = 5.0
AWAY_S = 9.0
# Links of tlr-bench-grown: 20 ms one way between regions; the smallest machines have 10 Mbit/s.
DELAY_S = 0.020
BYTES_PER_S = 10e6 / 8
ROUTES = 1400
CALL_PAUSE_S = 0.01
CALLERS = 4


def routes(label):
    return [{"name": f"idle-{label}-{index:04}", "host": f"host{index:04}.example",
             "pathPrefix": f"/idle{index:04}/", "service": "svc", "type": "unsafe",
             "timeoutMs": 3000, "targetLatencyMs": 1200, "maxAttempts": 3, "priority": 1,
             "stretch": 3.0} for index in range(ROUTES)]


async def case(deployment, trouble):
    record, store = deployment.record, deployment.store
    for index in range(3):
        worker = platform.Worker(store, record, f"w{index + 1}",
                                 lambda _task, _attempt: (0.2, "done", 1000), service="svc",
                                 zone="z1", labels=["a", "r1"],
                                 capacity={"cpu": 64000, "memMb": 262144, "gpu": 8})
        deployment.workers.append(worker)
        await worker.boot()

    def publish(version, keys, label):
        document = platform.config(version, HOST_NAME, "svc", keys, routes=routes(label))
        store.put("keyed.op", "config", document)
        record.line(f"operator config version={version} keys={keys} acknowledged")
        return record.now()

    publish(1, [REVOKED, KEPT], "a")
    await deployment.add_daemons(3, BOUNDS, DELAY_S, BYTES_PER_S)
    await deployment.until_ready()
    await asyncio.sleep(3)
    # Not the planner: only its calls are looked at.
    planner = store.planner()
    index = next(i for i, daemon in enumerate(deployment.daemons) if daemon.name != planner)
    daemon, link = deployment.daemons[index], deployment.links[index]
    # The callers' channels are open before the trouble, and stay with their daemon.
    channels = [platform.Channel(daemon.front) for _ in range(CALLERS)]
    for channel in channels:
        status, body = await channel.call("GET", "/q1/", HOST_NAME, REVOKED)
        record.line(f"caller GET /q1/ {status} {body}")
    if trouble:
        link.refusing = True
        record.line(f"the store turns {daemon.name} away")
    away_at = record.now()
    await asyncio.sleep(0.5)
    publish(2, [REVOKED, KEPT], "b")
    await asyncio.sleep(0.5)
    revoked_at = publish(3, [KEPT], "b")
    sent = []
    stop = asyncio.Event()

    async def call(number, channel):
        count = 0
        while not stop.is_set():
            job = f"{number:04x}{count:012x}"
            count += 1
            body = {"spec": "x", "steps": [{"count": 1, "cpu": 1000, "memMb": 64,
                                            "estimateMs": 200}]}
            at = record.now()
            status, _ = await channel.call("POST", f"/q1/{job}", HOST_NAME, REVOKED, body)
            sent.append((at, job, status))
            if status == 200:
                record.line(f"caller POST {job} with the revoked key, sent {at:.3f}, answer 200")
            await asyncio.sleep(CALL_PAUSE_S)
        channel.close()

    callers = [asyncio.create_task(call(number, channel))
               for number, channel in enumerate(channels, 1)]
    await asyncio.sleep(away_at + AWAY_S - record.now())
    link.refusing = False
    record.line(f"the store serves {daemon.name} again")
    await asyncio.sleep(4)
    stop.set()
    await asyncio.gather(*callers)
    await asyncio.sleep(1)
    counts = {}
    for at, _, status in sent:
        key = (status, "late" if at > revoked_at + REVOKE_S else "early")
        counts[key] = counts.get(key, 0) + 1
    record.line(f"answers to the revoked key by status and time: {counts}")
    started = {run["task"].split(".")[0]: run for worker in deployment.workers
               for run in worker.starts}
    violations = []
    for at, job, status in sent:
        if status == 200 and at > revoked_at + REVOKE_S:
            ran = f"its task started at {started[job]['started']:.3f}" if job in started else ""
            violations.append(f"CONFIG job {job}, sent {at - revoked_at:.3f} s after the "
                              f"confirmation of the configuration without its key, answered 200; "
                              f"{ran}")
    return violations


platform.main(case, pathlib.Path(__file__).resolve().parent)
