"""Stand-ins for the users' platform: the log store, workers, daemons' links and callers.

All of them run in one asyncio process on loopback addresses. Each daemon has a port of its own at the
store and at each worker, so that a link between one daemon and one of them can be cut. They behave as
PROTOCOL.md says; the times and limits are those of the site cordillera-pista.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DAEMON_PROGRAM = os.path.join(REPOSITORY, "target", "release", "mustardpathd")

HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3
APPEND_S = 0.004
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PAGE_BYTES = 1_000_000
MAX_READ_RECORDS = 2_000
MAX_LEASE_MS = 6_000
MEMORY_BYTES = 260 * 1024 * 1024
RESTART_DELAY_S = 0.5
DAEMON_PORTS = (12_000, 30_000)
STOP_S = 0.05
MAX_CASE_S = 110
MAX_LISTED_ENDS = 500
API_KEY = "review-key"
HOST = "review.example"

SETTINGS = """{
  "daemon": "%(name)s", "region": "%(region)s", "domain": "%(zone)s",
  "caller_address": "127.0.0.1:%(caller)d", "peer_address": "127.0.0.1:%(peer)d",
  "log_address": "127.0.0.1:%(log)d", "vms_address": "127.0.0.1:%(vms)d",
  "operator_key_sha256": "0000000000000000000000000000000000000000000000000000000000000000",
  "batch": {
    "ready_address": "127.0.0.1:%(ready)d", "metrics_address": "127.0.0.1:%(metrics)d",
    "max_lease": "6000 ms", "revocation": "5000 ms", "config_apply": "2500 ms",
    "reclaim": "2700 ms", "job_status": "120 s", "grace": 6, "cpu_share": 0.25,
    "memory": 260, "descriptors": 4100, "link": 1000.0
  }
}
"""


used_ports = set()


def free_port():
    """Returns a free loopback port outside the usual range of outgoing connections."""
    while True:
        port = random.randrange(*DAEMON_PORTS)
        if port in used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        used_ports.add(port)
        return port


class Record:
    """Writes the record of a run, with the time since its start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, line):
        text = f"{time.monotonic() - self.start:8.3f} {line}"
        print(text, file=self.file, flush=True)


class Link:
    """A server port for one daemon. While the link is cut, nothing passes in either direction."""

    def __init__(self, handler):
        self.handler = handler
        self.port = None
        self.is_cut = False
        self.writers = set()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def heal(self):
        """Ends a cut. Channels that were silent meanwhile are reset."""
        self.is_cut = False
        self.reset()

    def reset(self):
        """Resets all channels."""
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                if self.is_cut:
                    continue
                status, body = await self.handler(*request)
                if not self.is_cut:
                    writer.write(response(status, body))
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def read_request(reader):
    """Reads an HTTP request: method, target, headers and body."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while (line := (await reader.readline()).strip()):
        name, value = line.decode().split(":", 1)
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


def response(status, body):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n" % (status, len(body)) + body


class Topic:
    """A compacted topic with one partition."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def add(self, key, value):
        if value:
            self.newest[key] = (value, len(self.records))
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store. `observers` are called with each record of the system's own topic."""

    def __init__(self, network):
        self.network = network
        self.topics = {}
        self.observers = []

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def handle(self, daemon, method, target, _headers, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        topic = self.topic(query.get("topic", ""))
        if (method, parts.path) == ("POST", "/v1/log-append"):
            return await self.append(daemon, topic, query, body)
        if (method, parts.path) == ("GET", "/v1/log-read"):
            return await self.read(daemon, topic, query)
        if (method, parts.path) == ("GET", "/v1/log-newest"):
            return self.read_newest(daemon, topic, query)
        return 404, {}

    async def append(self, daemon, topic, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            if "producer" in query:
                refusal = check_producer(topic, query)
                if refusal:
                    return refusal
            offset = len(topic.records)
            contents = split_records(body)
            if len(body) > CALL_BYTES or max(map(len, contents), default=0) > RECORD_BYTES:
                return 413, {}
            for content in contents:
                key = content[1 : 1 + content[0]].decode()
                topic.add(key, content[1 + content[0] :])
                for observe in self.observers:
                    observe(daemon, key, content[1 + content[0] :])
            answer = 200, {"offset": offset, "end": len(topic.records)}
            if "producer" in query:
                topic.producers[query["producer"]][2].append((int(query["sequence"]), answer))
            return answer

    async def read(self, daemon, topic, query):
        start, deadline = int(query["from"]), time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while len(topic.records) <= start and (left := deadline - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        answer = bytearray(struct.pack(">QQ", len(topic.records), 0))
        limit = int(query.get("maxKb", "1024")) * 1024
        for key, value in topic.records[start : start + MAX_READ_RECORDS]:
            content = bytes([len(key)]) + key.encode() + self.network.localize(daemon, value)
            if len(answer) > 16 and len(answer) + len(content) > limit:
                break
            answer += struct.pack(">I", len(content)) + content
        return 200, bytes(answer)

    def read_newest(self, daemon, topic, query):
        keys = sorted(key for key in topic.newest if key > query.get("after", ""))
        items, size = [], 0
        for key in keys[:500]:
            value, offset = topic.newest[key]
            size += len(value)
            if items and size > PAGE_BYTES:
                break
            value = base64.b64encode(self.network.localize(daemon, value)).decode()
            items.append({"key": key, "value": value, "offset": offset})
        has_more = len(keys) > len(items)
        return 200, {"items": items, "hasMore": has_more, "end": len(topic.records)}


def split_records(body):
    """Splits the body of an append into the contents of its records."""
    contents = []
    while body:
        size = struct.unpack(">I", body[:4])[0]
        contents.append(body[4 : 4 + size])
        body = body[4 + size :]
    return contents


def check_producer(topic, query):
    """Returns the answer to an append that is fenced, repeated or out of sequence."""
    epoch, sequence = int(query["epoch"]), int(query["sequence"])
    last = topic.producers.get(query["producer"])
    if last and epoch < last[0]:
        return 409, {"reason": "fenced"}
    if last and epoch == last[0]:
        for number, answer in last[2][-5:]:
            if number == sequence:
                return answer
        if sequence != last[1] + 1:
            return 409, {"reason": "seq", "expected": last[1] + 1}
        last[1] = sequence
    else:
        topic.producers[query["producer"]] = [epoch, sequence, []]
    return None


class Worker:
    """A worker of one life. A task runs for the milliseconds that its job's spec names."""

    def __init__(self, network, name, zone, record, gpu=8):
        self.network = network
        self.name = name
        self.zone = zone
        self.record = record
        self.gpu = gpu
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.running = {}
        self.ended_runs = {}
        self.finished = []
        self.next_end = 1
        self.runs = []
        self.sequence = 0
        self.ended = asyncio.Event()
        self.is_registered = True
        self.is_up = True
        self.hold_start = None
        self.noted = set()

    def restart(self):
        """Starts the worker's process again under its name. It knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic()
        self.fence, self.lease_end = 0, 0
        self.running, self.ended_runs = {}, {}
        self.finished, self.next_end = [], 1
        self.is_registered = True
        self.record.write(f"worker={self.name} started again")

    def clock(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "service": "pista", "address": "@" + self.name + "@", "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "capacity": {"cpu": 32000, "memMb": 131072, "gpu": self.gpu},
            "labels": ["a", "r-" + self.zone], "clockMs": self.clock(), "sequence": self.sequence,
            "born": self.born,
        }).encode()

    async def run(self):
        """Writes status reports and ends the runs whose lease or work is over."""
        topic = self.network.store.topic("keyed.servers")
        last_beat = None
        while self.is_up:
            now = time.monotonic()
            if self.is_registered and (last_beat is None or now - last_beat >= HEARTBEAT_S):
                last_beat = now
                topic.add(self.name, self.entry())
            if not self.is_registered and self.name in topic.newest:
                if now - last_beat >= MISSED_HEARTBEATS * HEARTBEAT_S:
                    topic.add(self.name, b"")
            for key, run in list(self.running.items()):
                if self.clock() >= self.lease_end:
                    self.end(key, "lapsed")
                elif now >= run["end_at"]:
                    self.end(key, run["how"])
            await asyncio.sleep(0.005)

    def end(self, key, how):
        run = self.running.pop(key)
        task, attempt = key
        run["ended"] = time.monotonic()
        run["how"] = how
        self.ended_runs[task] = max(attempt, self.ended_runs.get(task, 0))
        self.finished.append([self.next_end, task, attempt, how, ""])
        self.next_end += 1
        self.record.write(f"worker={self.name} task={task} attempt={attempt} ended={how}")
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, daemon, method, target, headers, body):
        if headers.get("x-expected-instance") != self.name:
            return 421, {}
        order = json.loads(body or b"{}")
        if order.get("fencingToken", 0) < self.fence:
            return 409, self.answer(reason="fence")
        self.fence = max(self.fence, order.get("fencingToken", 0))
        if target == "/v1/hold":
            return await self.hold(order)
        if target == "/v1/run-start":
            if self.hold_start and self.hold_start(daemon, order):
                await asyncio.sleep(MAX_CASE_S)
            return self.start(daemon, order)
        if target == "/v1/run-stop":
            return self.stop(order)
        return 404, {}

    def answer(self, **fields):
        return {"clockMs": self.clock(), "born": self.born, **fields}

    def extend(self, order):
        if "deadlineMs" in order:
            end = min(order["deadlineMs"], self.clock() + MAX_LEASE_MS)
            self.lease_end = max(self.lease_end, end)

    async def hold(self, order):
        self.extend(order)
        for row in self.finished:
            if row[0] <= order.get("lastSeen", 0) and (row[1], row[2], row[3]) not in self.noted:
                self.noted.add((row[1], row[2], row[3]))
                self.record.write(f"worker={self.name} task={row[1]} attempt={row[2]} end noted")
        self.finished = [row for row in self.finished if row[0] > order.get("lastSeen", 0)]
        if not self.finished and order.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.ended.wait(), min(order["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, attempt, "", self.percent(run)]
                   for (task, attempt), run in self.running.items()]
        return 200, self.answer(running=running, finished=self.finished[:MAX_LISTED_ENDS])

    @staticmethod
    def percent(run):
        done = (time.monotonic() - run["began"]) / run["work_s"]
        return max(0, min(99, int(done * 100)))

    def start(self, daemon, order):
        task, attempt = order["task"], order["attempt"]
        if order["deadlineMs"] <= self.clock():
            return 409, self.answer(reason="late")
        self.extend(order)
        if (task, attempt) in self.running:
            return 200, self.answer()
        if attempt <= self.ended_runs.get(task, 0):
            return 409, self.answer(reason="old")
        now = time.monotonic()
        work_s = json.loads(order["spec"])["ms"] / 1000
        run = {"task": task, "attempt": attempt, "worker": self, "began": now, "work_s": work_s,
               "end_at": now + work_s, "how": "done", "ended": None}
        self.running[task, attempt] = run
        self.runs.append(run)
        self.record.write(f"worker={self.name} task={task} attempt={attempt} started by={daemon}")
        return 200, self.answer()

    def stop(self, order):
        key = order["task"], order["attempt"]
        if key in self.running:
            run = self.running[key]
            run["end_at"], run["how"] = time.monotonic() + STOP_S, "stopped"
        else:
            self.ended_runs[key[0]] = max(key[1], self.ended_runs.get(key[0], 0))
        return 200, self.answer()


class Network:
    """The store, the workers and the daemons, with the links between them."""

    def __init__(self, record):
        self.record = record
        self.store = Store(self)
        self.workers = {}
        self.daemons = {}
        self.links = {}
        self.tasks = []
        self.folder = tempfile.TemporaryDirectory()

    def localize(self, daemon, value):
        """Fills in the address at which a daemon reaches the worker of an entry."""
        for name in self.workers:
            mark = b"@" + name.encode() + b"@"
            if mark in value:
                port = self.links[daemon, name].port
                return value.replace(mark, b"127.0.0.1:%d" % port)
        return value

    async def add_link(self, daemon, name, target):
        async def handle(*request):
            return await target.handle(daemon, *request)

        link = Link(handle)
        await link.open()
        self.links[daemon, name] = link

    async def start(self, daemons, workers, queues):
        """Starts workers (name, zone, GPUs) and prepares daemons (name, zone, region)."""
        config = {
            "version": 1,
            "routes": [{"name": "r" + prefix.strip("/"), "host": HOST, "pathPrefix": prefix,
                        "type": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 3000,
                        "priority": priority, "service": "pista", "maxAttempts": 3, "stretch": 3.0,
                        "public": False, "allowedRegions": []}
                       for prefix, priority in queues],
            "services": [{"name": "pista", "admissionCheck": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "label", "apiKeys": [API_KEY], "priority": 1,
                         "guaranteed": {"gpu": 0}, "allowedRegions": []}],
        }
        self.store.topic("keyed.op").add("config", json.dumps(config).encode())
        for name, zone, gpu in workers:
            self.workers[name] = Worker(self, name, zone, self.record, gpu)
        for name, zone, region in daemons:
            await self.add_link(name, "store", self.store)
            for worker in self.workers.values():
                await self.add_link(name, worker.name, worker)
            self.daemons[name] = Daemon(self, name, zone, region)
        for worker in self.workers.values():
            self.tasks.append(asyncio.create_task(worker.run()))

    async def until_ready(self, *names):
        """Waits until the daemons report themselves ready."""
        for _ in range(100):
            answers = [await daemon.call("GET", "/v1/ready", port=daemon.ports["ready"])
                       for daemon in map(self.daemons.get, names)]
            if all(status == 200 for status, _ in answers):
                return True
            await asyncio.sleep(0.1)
        return False

    async def supervise(self):
        """Kills daemons with more memory than their machine, and restarts those that have ended."""
        while True:
            for daemon in self.daemons.values():
                if daemon.process.poll() is not None:
                    daemon.ends += 1
                    self.record.write(f"daemon={daemon.name} ended status={daemon.process.poll()}")
                    await asyncio.sleep(RESTART_DELAY_S)
                    daemon.launch()
                elif (memory := daemon.memory()) > MEMORY_BYTES:
                    daemon.process.kill()
                    self.record.write(f"platform: daemon={daemon.name} killed bytes={memory}")
            await asyncio.sleep(0.1)

    def cut(self, pairs):
        for pair in pairs:
            self.links[pair].is_cut = True

    def heal(self, pairs):
        for pair in pairs:
            self.links[pair].heal()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons.values():
            daemon.kill()
        self.folder.cleanup()

    def runs(self):
        return [run for worker in self.workers.values() for run in worker.runs]


class Daemon:
    """A daemon as a process of its own, and calls to it."""

    def __init__(self, network, name, zone, region):
        self.network = network
        self.name = name
        self.process = None
        self.ends = 0
        ports = {role: free_port() for role in ("caller", "peer", "vms", "ready", "metrics")}
        ports["log"] = network.links[name, "store"].port
        self.ports = ports
        self.path = os.path.join(network.folder.name, name + ".json")
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(SETTINGS % {"name": name, "zone": zone, "region": region, **ports})

    def launch(self):
        log = open(os.path.join(self.network.folder.name, self.name + ".log"), "ab")
        self.process = subprocess.Popen([DAEMON_PROGRAM, self.path], stdout=log, stderr=log,
                                        cwd=REPOSITORY)
        self.network.record.write(f"daemon={self.name} pid={self.process.pid} launched")

    def send(self, number):
        self.network.record.write(f"daemon={self.name} signal={signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory(self):
        """Returns the resident memory of the process in bytes, or 0 once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                rows = [line.split() for line in file if line.startswith("VmRSS")]
        except FileNotFoundError:
            return 0
        return int(rows[0][1]) * 1024 if rows else 0

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def call(self, method, path, body=None, port=None, timeout=3.0):
        """Sends one request on a new channel. Returns status 0 if there is no complete answer."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, body, port), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, {}

    async def exchange(self, method, path, body, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.ports["caller"])
        try:
            content = json.dumps(body, separators=(",", ":")).encode() if body is not None else b""
            head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {API_KEY}\r\n"
                    f"X-Request-Deadline: 3000\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n")
            writer.write(head.encode() + content)
            line = await reader.readline()
            if not line:
                raise ConnectionError("the channel ended")
            status = int(line.split()[1])
            length = 0
            while (line := (await reader.readline()).strip()):
                name, value = line.decode().split(":", 1)
                if name.lower() == "content-length":
                    length = int(value)
            content = await reader.readexactly(length)
            return status, json.loads(content) if content else {}
        finally:
            writer.close()


def encode(order):
    return json.dumps(order).encode()


async def wait_for(condition, seconds):
    """Waits until a condition holds. Returns whether it does."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.01)
    return False


async def run_case(play, folder):
    """Plays a case, which returns the exit status, and ends all processes that it started."""
    record = Record(os.path.join(folder, "record.txt"))
    network = Network(record)
    try:
        result = await asyncio.wait_for(play(network, record), MAX_CASE_S)
    except Exception as error:  # whatever keeps the case from running must not count as a break
        record.write(f"could not run: {error!r}")
        result = 2
    finally:
        if "KEEP_LOGS" in os.environ:
            shutil.copytree(network.folder.name, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        await network.stop()
    record.write(f"exit status {result}")
    return result


def overlaps(runs):
    """Returns pairs of runs of one task that were at work at the same time, with the seconds."""
    now = time.monotonic()
    found = []
    for index, first in enumerate(runs):
        for second in runs[index + 1 :]:
            if first["task"] == second["task"]:
                begin = max(first["began"], second["began"])
                end = min(first["ended"] or now, second["ended"] or now)
                if end > begin:
                    found.append((first, second, end - begin))
    return found
