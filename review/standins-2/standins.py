"""Stand-ins of the platform's store, of workers and of clients for the cases 6 to 10, and the start of the gateway.

All stand-ins run in one asyncio loop on loopback addresses. They follow the users' pages; a case adds the disruption
that it names.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run, with the time since the start."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


def free_port(host):
    """Returns a TCP port that is free at the address now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP message with a length. Returns (start line, fields in lower case, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], fields, body


def answer(status, body=b"", fields=()):
    """Returns an HTTP answer with a length."""
    text = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n"
    for name, value in fields:
        text += f"{name}: {value}\r\n"
    return text.encode("latin-1") + b"\r\n" + body


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def note(self, key, event):
        self.history.append((self.revision, key, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes an item as the operator or a worker; the return is the ack."""
        self.revision += 1
        before = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.note(key, item)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.note(key, {"key": key, "revision": self.revision, "removed": True})

    def end_lease(self, number):
        del self.leases[number]
        for key in [key for key, item in self.items.items() if item["lease"] == number]:
            self.remove(key)

    def expire(self):
        for number in [number for number, (_, end) in self.leases.items() if end <= time.monotonic()]:
            self.end_lease(number)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, body = await self.call(method, url.path, query, message[2])
                writer.write(answer(status, json.dumps(body).encode(),
                                    [("Content-Type", "application/json"), ("Store-Era", "1")]))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def call(self, method, path, query, body):
        self.expire()
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys], "has_more": False, "at": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.transact(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        number = int(path.rsplit("/", 1)[1]) if path.startswith(("/v1/kv-keep/", "/v1/kv-lease-end/")) else 0
        if number not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-keep/"):
            ttl = self.leases[number][0]
            self.leases[number] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        self.end_lease(number)
        return 200, {}

    async def watch(self, query):
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        while True:
            self.expire()
            events = [event for revision, key, event in self.history
                      if revision > after and key.startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.1))
            except asyncio.TimeoutError:
                pass

    def transact(self, request):
        conditions = request.get("precondition", [])
        for row in conditions:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[each["key"]] for each in conditions if each["key"] in self.items]}
        for put in request.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for put in request.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in request.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Worker:
    """A worker: each start is an incarnation with an id of its own at the same address."""

    def __init__(self, number, service, store, record, slots=12, zone="buda"):
        self.number = number
        self.service = service
        self.store = store
        self.record = record
        self.slots = slots
        self.zone = zone
        self.starts = 0
        self.sequence = 0
        self.id = None
        self.born = None
        self.server = None
        self.port = 0
        self.running = 0
        self.writers = set()
        self.runs = []  # (time, request id, start line, fields, body) of each request that was begun

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.number}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.running = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat()

    def beat(self, state="ready"):
        """Writes the entry of this worker into the store."""
        self.sequence += 1
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": state, "cold_remaining_ms": 0, "sequence": self.sequence,
                 "born": self.born}
        self.store.put("servers/" + self.id, json.dumps(entry).encode())

    def crash(self):
        """Ends at once: all connections are reset, and new ones are refused until start() is called again."""
        self.record.write(f"worker {self.id} crashes")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await self.respond(message, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, message, writer):
        start, fields, body = message
        request = fields.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", request)]
        if fields.get("x-target-instance") != self.id:
            writer.write(answer(421, b"", [("X-Instance-Id", self.id), *echo]))
            return
        if start.startswith("GET /v1/report "):
            writer.write(answer(200, b"{}", [("Content-Type", "application/json")]))
            return
        if self.running >= self.slots:
            writer.write(answer(503, b"", [("X-Not-Executed", "1"), *echo]))
            return
        incarnation = self.id
        self.running += 1
        self.runs.append((time.monotonic(), request, start, fields, body))
        self.record.write(f"worker {self.id} runs {request}: {start} with {len(body)} bytes of body")
        try:
            await self.run(request, fields, writer)
        finally:
            if self.id == incarnation:
                self.running -= 1

    async def run(self, request, fields, writer):
        """Runs a request and writes its answer."""
        await asyncio.sleep(0.02)
        writer.write(answer(200, b"done " + request.encode(),
                            [("X-Attempt-Id", request), ("X-Server-Signature", "s-" + request)]))


class StreamWorker(Worker):
    """A worker of streams. It sends the head when it accepts a request, and the events once the prompt is read."""

    events = 28
    prefill_s = 0.2
    interval_s = 0.04

    async def run(self, request, fields, writer):
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                      f"X-Attempt-Id: {request}\r\nX-Server-Signature: s-{request}\r\n\r\n").encode())
        await asyncio.sleep(self.prefill_s)
        first = int(fields.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await self.pause_after(request, fields, number, number - first + 1)
        writer.write(b"0\r\n\r\n")

    async def pause_after(self, request, fields, number, sent):
        """Waits until the next event. `sent` counts the events of this attempt."""
        await asyncio.sleep(self.interval_s)


class Gateway:
    """The project's daemon, started with the command of the deploy file and its settings template."""

    def __init__(self, folder, store, host="127.0.0.1", name="front-buda-1", seeds=None, peers=None):
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            deploy = file.read()
        self.command = re.search(r'^run = "(.*)"$', deploy, re.M).group(1).split()
        self.name = name
        self.host = host
        self.port = free_port(host)
        self.ready = free_port(host)
        peers = peers or free_port(host)
        values = {"node_name": name, "zone": "buda", "region": "kozep", "listen.front": f"{host}:{self.port}",
                  "ip": host, "internal_port_range.0": str(peers), "platform.address": store,
                  "listen.ready": f"{host}:{self.ready}", "seeds|json": json.dumps(seeds or [f"{host}:1"]),
                  "bounds.budget_window_s": "10", "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "90",
                  "limits.memory_mb": "390", "limits.max_fds": "6300", "bounds.grace_s": "8"}
        with open(os.path.join(ROOT, "deploy", "gateway.yaml"), encoding="utf-8") as file:
            text = re.sub(r"\{\{(.*?)\}\}", lambda match: values[match.group(1)], file.read())
        self.settings = os.path.join(folder, name + ".yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = open(os.path.join(folder, name + ".log"), "w", encoding="utf-8")
        self.process = None

    async def start(self):
        words = [self.settings if word == "/etc/bronzechute/boot.toml" else word for word in self.command]
        self.process = await asyncio.create_subprocess_exec(*words, cwd=ROOT, stdout=self.log, stderr=self.log)
        for _ in range(100):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the gateway does not become ready")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready)
        except OSError:
            return False
        writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        message = await read_message(reader)
        writer.close()
        return message is not None and message[0].split(" ")[1] == "200"

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def route(name, kind, service, timeout_ms=3000, **more):
    return {"name": name, "hostname": "office.example", "prefix": f"/{name}/", "route_type": kind, "service": service,
            "timeout_ms": timeout_ms, "target_latency_ms": 200, "max_attempts": 2, "priority": 1, **more}


def configuration(version, routes, services, tenants=None):
    body = {"version": version, "routes": routes,
            "services": [{"name": name, "max_connections": 100, "health_check_path": "/healthz"} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                       "idle_timeout_ms": 20000}}
    if tenants is not None:
        body["tenants"] = [{"name": name, "api_keys": keys} for name, keys in tenants.items()]
    return json.dumps(body).encode()


class Reply:
    """What a client saw of its request."""

    def __init__(self):
        self.status = None  # None: no answer
        self.complete = False
        self.data = b""
        self.sent = 0.0
        self.ended = 0.0


async def send(gateway, record, request, method="POST", path="/", fields=(), body=b"", limit_s=10.0):
    """Sends one request on a new channel, and returns what comes back until the answer or the channel ends."""
    reply = Reply()
    text = f"{method} {path} HTTP/1.1\r\nHost: office.example\r\nX-Attempt-Id: {request}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in fields)
    if body or method == "POST":
        text += f"Content-Length: {len(body)}\r\n"
    reply.sent = time.monotonic()
    writer = None
    try:
        reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
        writer.write(text.encode("latin-1") + b"\r\n" + body)
        record.write(f"client sends {request} to {gateway.name}: {method} {path}")
        await asyncio.wait_for(read_reply(reader, reply), limit_s)
    except (asyncio.IncompleteReadError, asyncio.TimeoutError, OSError):
        pass
    finally:
        if writer is not None:
            writer.close()
    reply.ended = time.monotonic()
    end = "complete" if reply.complete else "not complete"
    record.write(f"client of {request} has {reply.status}, {end}, {len(reply.data)} bytes of body")
    return reply


async def read_reply(reader, reply):
    """Reads one answer with a length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    reply.status = int(head.split(" ")[1])
    if "transfer-encoding: chunked" in head:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            reply.data += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    else:
        length = re.search(r"content-length: (\d+)", head)
        reply.data = await reader.readexactly(int(length.group(1)) if length else 0)
    reply.complete = True


def has_trouble():
    """Returns whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, limit_s=110.0):
    """Runs `case(record, folder, gateways)`, which returns whether the rule held, and ends the process with the result.

    The case adds each gateway that it starts to `gateways`. Exit codes: 0 the rule held, 1 it was broken, 2 the case
    could not run.
    """
    record = Record(os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt"))
    gateways = []

    async def run(folder):
        try:
            return await asyncio.wait_for(case(record, folder, gateways), limit_s)
        finally:
            for gateway in gateways:
                await gateway.stop()

    with tempfile.TemporaryDirectory() as folder:
        try:
            held = asyncio.run(run(folder))
        except Exception as problem:  # Whatever it is, the case has no result.
            record.write(f"the case could not run: {problem!r}")
            print(f"the case could not run: {problem!r}")
            sys.exit(2)
    result = "the rule held" if held else "the rule was broken"
    record.write(result)
    print(result)
    sys.exit(0 if held else 1)
