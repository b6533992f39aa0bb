"""Stand-ins for the platform: store, workers, links to the store, callers, and the daemons' launcher.

They follow PROTOCOL.md and DEPLOY.md. Everything listens on 127.0.0.1 on free ports. Python's
standard library is all that is needed.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 413: "Content Too Large", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


class Record:
    """The record of a test: what was sent, answered and run, with the time since its start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        if self.file.closed:
            return
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


# HTTP ------------------------------------------------------------------------------------------

async def read_message(reader):
    """Reads one HTTP/1.1 message. Returns the first line, the headers and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def encode_response(status, body, kind="application/json"):
    reason = REASONS.get(status, "Status")
    head = (f"HTTP/1.1 {status} {reason}\r\ncontent-type: {kind}\r\n"
            f"content-length: {len(body)}\r\n\r\n")
    return head.encode() + body


class HttpServer:
    """A server whose handler returns (status, body, content type), or None to close the channel."""

    def __init__(self, handler, port=None):
        self.handler = handler
        self.port = port or free_port()
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 22)

    async def stop(self):
        """Closes the listener and resets all channels, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    break
                writer.write(encode_response(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Channel:
    """A caller's channel to one daemon. It opens again when the daemon has closed it."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def call(self, method, path, host, key=None, body=None, timeout=3.0):
        """Returns (status, decoded body), or (None, reason) without a complete response."""
        data = json.dumps(body).encode() if body is not None else b""
        head = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(data)}",
                "Content-Type: application/json", f"X-Request-Deadline: {int(timeout * 1000)}"]
        if key:
            head.append(f"Authorization: Bearer {key}")
        message = ("\r\n".join(head) + "\r\n\r\n").encode() + data
        try:
            return await asyncio.wait_for(self.exchange(message), timeout)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.close()
            return None, type(error).__name__

    async def exchange(self, message):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.writer.write(message)
        await self.writer.drain()
        first, headers, body = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        status = int(first.split(" ")[1])
        try:
            return status, json.loads(body) if body else None
        except ValueError:
            return status, None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# The platform's store ----------------------------------------------------------------------------

class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.epochs = {}
        self.busy_until = 0.0
        self.changed = asyncio.Event()

    def append(self, records):
        offset = len(self.records)
        for record in records:
            self.newest_of(record, len(self.records))
            self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def newest_of(self, record, offset):
        size = record[0]
        key, value = record[1:1 + size].decode(), record[1 + size:]
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)


class Store:
    """The platform's log store: one partition per topic, as the page describes it."""

    APPEND_S = 0.004
    RECORD_BYTES = 262_144
    CALL_BYTES = 2_097_152

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.refused_sizes = 0
        self.server = HttpServer(self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes a record for the operator or a worker, and returns its offset."""
        data = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        return self.topic(topic).append([bytes([len(name)]) + name + data])

    def planner(self):
        """Returns the name of the daemon that holds the newest term, from the system's topic."""
        newest = self.topic("keyed.mustardpath").newest.get("t")
        return json.loads(newest[0]).get("holder") if newest else None

    async def handle(self, method, target, _headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if method == "POST" and url.path == "/v1/log-append":
            return await self.append(query, body)
        if method == "GET" and url.path == "/v1/log-read":
            return await self.read(query)
        if method == "GET" and url.path == "/v1/log-newest":
            return self.list_newest(query)
        return 404, b"{}", "application/json"

    async def append(self, query, body):
        records, at = [], 0
        while at < len(body):
            size = struct.unpack_from(">I", body, at)[0]
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        if len(body) > self.CALL_BYTES or any(len(r) > self.RECORD_BYTES for r in records):
            self.refused_sizes += 1
            return 413, b"{}", "application/json"
        topic = self.topic(query["topic"])
        # A partition processes its appends one at a time.
        start = max(time.monotonic(), topic.busy_until)
        topic.busy_until = start + self.APPEND_S
        await asyncio.sleep(topic.busy_until - time.monotonic())
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            last_epoch, last_sequence, answers = topic.epochs.get(query["producer"], (-1, -1, {}))
            if epoch < last_epoch:
                return 409, b'{"reason":"fenced"}', "application/json"
            if epoch == last_epoch:
                if sequence in answers:
                    return 200, answers[sequence], "application/json"
                if sequence != last_sequence + 1:
                    answer = {"reason": "seq", "sequence": last_sequence + 1}
                    return 409, json.dumps(answer).encode(), "application/json"
            else:
                answers = {}
        offset = topic.append(records)
        answer = json.dumps({"offset": offset, "end": len(topic.records)}).encode()
        if "producer" in query:
            answers = dict(list(answers.items())[-4:])
            answers[sequence] = answer
            topic.epochs[query["producer"]] = (epoch, sequence, answers)
        return 200, answer, "application/json"

    async def read(self, query):
        topic = self.topic(query["topic"])
        start, wait = int(query["from"]), int(query.get("waitMs", 0)) / 1000
        until = time.monotonic() + wait
        while len(topic.records) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(topic.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        limit, size, page = int(query.get("maxKb", 1024)) * 1024, 0, []
        for record in topic.records[start:]:
            size += 4 + len(record)
            if page and size > limit:
                break
            page.append(struct.pack(">I", len(record)) + record)
        body = struct.pack(">QQ", len(topic.records), 0) + b"".join(page)
        return 200, body, "application/octet-stream"

    def list_newest(self, query):
        topic, after = self.topic(query["topic"]), query.get("after", "")
        items, size, more = [], 0, False
        for key in sorted(key for key in topic.newest if key > after):
            value, offset = topic.newest[key]
            size += len(value)
            if items and (len(items) == 500 or size > 1 << 20):
                more = True
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        body = {"items": items, "hasMore": more, "end": len(topic.records)}
        return 200, json.dumps(body).encode(), "application/json"


class StoreLink:
    """One machine's way to the store: a proxy with the delay and bandwidth of the site.

    While `refusing` is set, the store turns this machine away with 429.
    """

    CHUNK_BYTES = 8_192

    def __init__(self, store, delay_s=0.0, bytes_per_s=None):
        self.store = store
        self.delay_s = delay_s
        self.bytes_per_s = bytes_per_s
        self.refusing = False
        self.free_at = 0.0
        self.server = HttpServer(self.handle)

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(self.delay_s)
        if self.refusing:
            answer = 429, b"{}", "application/json"
        else:
            answer = await self.store.handle(method, target, headers, body)
            # A long poll that was waiting when the refusals began is answered like the others.
            if self.refusing:
                answer = 429, b"{}", "application/json"
        rest = len(answer[1]) if self.bytes_per_s else 0
        while rest > 0:
            # Answers that are under way at the same time share the link.
            start = max(time.monotonic(), self.free_at)
            self.free_at = start + min(rest, self.CHUNK_BYTES) / self.bytes_per_s
            rest -= self.CHUNK_BYTES
            await asyncio.sleep(self.free_at - time.monotonic())
        await asyncio.sleep(self.delay_s)
        return answer


# Workers -----------------------------------------------------------------------------------------

class Worker:
    """A worker without admission check. `plan(task, attempt)` gives (seconds, how) of a run."""

    STOP_S = 0.02

    def __init__(self, store, record, name, plan, *, service, zone, labels, capacity,
                 heartbeat_s=1.5, max_hold_ms=6_000):
        self.store, self.record, self.name, self.plan = store, record, name, plan
        self.service, self.zone, self.heartbeat_s = service, zone, heartbeat_s
        self.max_hold_ms = max_hold_ms
        self.port = free_port()
        self.server = None
        self.labels, self.capacity = labels, capacity
        # What every boot has done, for the checks.
        self.starts, self.ends, self.noted = [], [], []
        self.first_list_at = None

    async def boot(self, labels=None, capacity=None):
        self.labels = labels or self.labels
        self.capacity = capacity or self.capacity
        self.born = int(time.time() * 1000)
        self.boot_at = time.monotonic()
        self.fence = self.sequence = self.end_count = 0
        self.lease_end = 0
        self.running, self.finished, self.highest = {}, [], {}
        self.ended = asyncio.Event()
        self.first_list_at = None
        self.jobs = []
        self.server = HttpServer(self.handle, self.port)
        await self.server.start()
        self.record.line(f"worker {self.name} boots born={self.born} labels={self.labels} "
                         f"capacity={self.capacity}")
        self.jobs = [asyncio.create_task(self.report()), asyncio.create_task(self.watch_lease())]

    async def crash(self):
        self.record.line(f"worker {self.name} crashes, running {len(self.running)}")
        for job in self.jobs:
            job.cancel()
        for run in self.running.values():
            run["timer"].cancel()
            self.ends.append({**run, "how": "crashed", "at": self.record.now(), "number": 0})
        self.running = {}
        await self.server.stop()

    def clock(self):
        return int((time.monotonic() - self.boot_at) * 1000)

    async def report(self):
        while True:
            self.sequence += 1
            entry = {"service": self.service, "address": f"{HOST}:{self.port}", "zone": self.zone,
                     "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                     "sequence": self.sequence, "capacity": self.capacity, "labels": self.labels,
                     "born": self.born}
            self.store.put("keyed.servers", self.name, entry)
            await asyncio.sleep(self.heartbeat_s)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock() >= self.lease_end:
                self.record.line(f"worker {self.name} lease lapsed, running {len(self.running)}")
                for key in list(self.running):
                    self.end(key, "lapsed")

    def end(self, key, how):
        run = self.running.pop(key)
        task = run["task"]
        run["timer"].cancel()
        self.end_count += 1
        self.highest[task] = max(self.highest.get(task, 0), run["attempt"])
        row = [self.end_count, task, run["attempt"], how, ""]
        self.finished.append(row)
        end = {**run, "how": how, "at": self.record.now(), "number": self.end_count,
               "boot": self.born, "noted_at": None, "lease_lapsed": how == "lapsed"}
        run["end"] = end
        self.ends.append(end)
        self.record.line(f"worker {self.name} end {self.end_count} {task}/{run['attempt']} {how}")
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, method, target, headers, body):
        if method == "GET":
            return 200, b"{}", "application/json"
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, b"{}", "application/json"
        order = json.loads(body)
        if order.get("fencingToken", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = order.get("fencingToken", 0)
        if target == "/v1/hold":
            return await self.hold(order)
        if target == "/v1/run-start":
            return self.start(order)
        if target == "/v1/run-stop":
            return self.stop(order)
        return 404, b"{}", "application/json"

    def answer(self, status, **fields):
        body = {"clockMs": self.clock(), "born": self.born, **fields}
        return status, json.dumps(body).encode(), "application/json"

    def extend(self, deadline):
        if deadline is not None:
            # A lapsed lease shows in the ends that were not noted before it lapsed.
            if self.clock() >= self.lease_end:
                for end in self.ends:
                    if end.get("boot") == self.born and end["noted_at"] is None:
                        end["lease_lapsed"] = True
            self.lease_end = max(self.lease_end, min(deadline, self.clock() + self.max_hold_ms))

    async def hold(self, order):
        born = self.born
        seen = order.get("lastSeen", 0)
        lapsed = self.clock() >= self.lease_end
        for end in self.ends:
            if end.get("boot") == born and 0 < end["number"] <= seen and end["noted_at"] is None:
                end["noted_at"] = self.record.now()
                end["lease_lapsed"] = end["lease_lapsed"] or lapsed
        self.finished = [row for row in self.finished if row[0] > seen]
        self.extend(order.get("deadlineMs"))
        if not self.finished and order.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.ended.wait(), min(order["waitMs"], 2_000) / 1000)
            except asyncio.TimeoutError:
                pass
        if self.born != born:
            return None
        rows = [[run["task"], run["attempt"], "", self.percent(run), run["cpu"]]
                for run in self.running.values()]
        finished = self.finished[:500]
        if len(self.finished) > 500:
            self.record.line(f"worker {self.name} lists 500 of {len(self.finished)} ends, "
                             f"running {len(rows)}, fence {self.fence}")
        if self.first_list_at is None:
            self.first_list_at = self.record.now()
            self.record.line(f"worker {self.name} first list of boot {born}")
        return self.answer(200, running=rows, finished=finished)

    def percent(self, run):
        return min(99, int(100 * (self.record.now() - run["started"]) / max(run["seconds"], 0.001)))

    def start(self, order):
        task, attempt = order["task"], order["attempt"]
        name = f"{task}/{attempt}"
        if order.get("deadlineMs", 0) <= self.clock():
            self.record.line(f"worker {self.name} start {name} refused late")
            return self.answer(409, reason="late")
        self.extend(order["deadlineMs"])
        if (task, attempt) in self.running:
            return self.answer(200)
        if attempt <= self.highest.get(task, 0):
            self.record.line(f"worker {self.name} start {name} refused old")
            return self.answer(409, reason="old")
        seconds, how, cpu = self.plan(task, attempt)
        timer = asyncio.get_running_loop().call_later(seconds, self.end, (task, attempt), how)
        run = {"worker": self.name, "task": task, "attempt": attempt, "started": self.record.now(),
               "seconds": seconds, "cpu": cpu, "timer": timer, "labels": list(self.labels),
               "boot": self.born, "after_list": self.first_list_at is not None}
        self.running[task, attempt] = run
        self.starts.append(run)
        self.record.line(f"worker {self.name} start {name} born={self.born} labels={self.labels}")
        return self.answer(200)

    def stop(self, order):
        task, attempt = order["task"], order["attempt"]
        self.record.line(f"worker {self.name} stop {task}/{attempt}")
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.running.get((task, attempt))
        if run:
            run["timer"].cancel()
            loop = asyncio.get_running_loop()
            run["timer"] = loop.call_later(self.STOP_S, self.end, (task, attempt), "stopped")
        return self.answer(200)


# The daemons ---------------------------------------------------------------------------------------

def render(template, fields):
    """Fills in a settings template: values, and sections that need a value."""
    def lookup(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda m: m[2] if lookup(m[1]) is not None else "", template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(lookup(m[1]) if lookup(m[1]) is not None else ""),
                  text)


class Daemon:
    """One daemon, started with the command and the template of the deploy file."""

    def __init__(self, folder, name, zone, link, bounds, record):
        self.name, self.record = name, record
        self.front, self.ready = free_port(), free_port()
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        fields = {
            "nodeName": name, "region": "south", "zone": zone, "ip": HOST,
            "bindAddresses": {"front": f"{HOST}:{self.front}", "ready": f"{HOST}:{self.ready}"},
            "internalPorts": [free_port(), free_port()],
            "platform": {"address": f"{HOST}:{link.server.port}"},
            "cloud": {"address": f"{HOST}:{free_port()}"},
            "bounds": bounds, "limits": {"cpuShare": 0.25},
        }
        self.settings = folder / f"{name}.json"
        self.settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        self.program = role["run"].split(" ")[0]
        self.log = open(folder / f"{name}.log", "a", encoding="utf-8")
        self.process = None

    async def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / self.program), str(self.settings), cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.line(f"daemon {self.name} starts")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.record.line(f"daemon {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        channel = Channel(self.ready)
        status, _ = await channel.call("GET", "/v1/ready", "ready", timeout=0.5)
        channel.close()
        return status == 200


class Deployment:
    """A store, workers and daemons in a temporary folder."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="mustardpath-review-"))
        self.store = Store(self.record)
        self.workers, self.daemons, self.links = [], [], []

    async def add_daemons(self, count, bounds, delay_s=0.0, bytes_per_s=None):
        for index in range(count):
            link = StoreLink(self.store, delay_s, bytes_per_s)
            await link.server.start()
            self.links.append(link)
            daemon = Daemon(self.temporary, f"front-{index + 1}", f"z{index + 1}", link, bounds,
                            self.record)
            self.daemons.append(daemon)
            await daemon.start()

    async def until_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all([await daemon.is_ready() for daemon in self.daemons]) and self.store.planner():
                self.record.line(f"all daemons are ready, planner {self.store.planner()}")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the daemons are not ready")

    def find(self, name):
        return next(daemon for daemon in self.daemons if daemon.name == name)

    async def close(self):
        for daemon in self.daemons:
            await daemon.end()
        self.record.close()
        if os.environ.get("KEEP"):
            print(f"logs in {self.temporary}")
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def config(version, host, service, keys, *, routes=(), queues=None):
    """A configuration in full. `routes` adds idle routes."""
    queue = {"name": "q1", "host": host, "pathPrefix": "/q1/", "service": service,
             "priority": 1, "maxAttempts": 3, "stretch": 3.0, "targetLatencyMs": 1200,
             "timeoutMs": 3000, "type": "unsafe"}
    return {"version": version, "routes": (queues or [queue]) + list(routes),
            "services": [{"name": service, "healthPath": "/health", "maxConnections": 64}],
            "tenants": [{"name": "t1", "apiKeys": keys, "guaranteed": {"gpu": 0}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}}


def main(case, folder):
    """Runs `case(deployment, trouble)`, which returns the list of violations."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(folder)
        try:
            violations = await asyncio.wait_for(case(deployment, trouble), 110)
            for violation in violations:
                deployment.record.line(f"VIOLATION {violation}")
            deployment.record.line(f"violations: {len(violations)}")
            print(f"trouble={trouble} violations={len(violations)}", flush=True)
            return 1 if violations else 0
        finally:
            await deployment.close()

    try:
        sys.exit(asyncio.run(run()))
    except Exception as error:  # The case could not run.
        print(f"could not run: {error!r}")
        sys.exit(2)
