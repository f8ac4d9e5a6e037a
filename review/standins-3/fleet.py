"""Stand-ins for the cases of this review: the platform's store, workers, clients and the platform's process starter.

All of them speak what the users' pages say, on loopback addresses and the real clock. A case starts the project's own
gateways as separate processes, with the command of deploy/system.toml and settings made from deploy/gateway.yaml.
"""

import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST_NAME = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


def now_ms():
    return int(time.time() * 1000)


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def at(self):
        return time.monotonic() - self._start

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.at():8.3f}  {text}\n")
            self._file.flush()


# HTTP ---------------------------------------------------------------------------------------------------------------


class Connection:
    """One HTTP/1.1 connection, read with a buffer."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def read_until(self, mark):
        while mark not in self.buffer:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data
        head, self.buffer = self.buffer.split(mark, 1)
        return head

    def read_exact(self, size):
        while len(self.buffer) < size:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data
        body, self.buffer = self.buffer[:size], self.buffer[size:]
        return body

    def read_head(self):
        """Returns the first line and the fields (lower-case names), or None at the end of the connection."""
        head = self.read_until(b"\r\n\r\n")
        if head is None:
            return None
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass


class Server:
    """Accepts connections on a loopback address and serves each in a thread of its own."""

    def __init__(self, host="127.0.0.1", port=0):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, port))
        self._listener.listen(256)
        self.host, self.port = self._listener.getsockname()
        self._open = set()
        self._lock = threading.Lock()
        self._ended = False
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def _accept(self):
        while not self._ended:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if self._ended:
                sock.close()
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        connection = Connection(sock)
        try:
            while True:
                head = connection.read_head()
                if head is None:
                    break
                line, fields = head
                method, target, _ = line.split(" ", 2)
                body = connection.read_exact(int(fields.get("content-length", "0")))
                if body is None or not self.serve(connection, method, target, fields, body):
                    break
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._open.discard(sock)
            connection.close()

    def serve(self, connection, method, target, fields, body):
        raise NotImplementedError

    def reset_all(self):
        """Resets all connections."""
        with self._lock:
            open_now = list(self._open)
        for sock in open_now:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            except OSError:
                pass

    def end(self):
        """Ends at once, as a process does: nothing listens any more, and all connections are reset."""
        self._ended = True
        try:
            self._listener.shutdown(socket.SHUT_RDWR)  # Otherwise a pending accept() keeps it open.
        except OSError:
            pass
        self._listener.close()
        self.reset_all()


def whole(status, fields, body=b""):
    text = f"HTTP/1.1 {status} Status\r\n"
    for name, value in fields.items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


# The platform's store -----------------------------------------------------------------------------------------------


class Store(Server):
    """The platform's metadata store, with the calls of PROTOCOL.md."""

    def __init__(self, era=None):
        self._state = threading.Condition()
        self._items = {}  # key: (value, revision, created, lease)
        self._history = []  # (revision, event)
        self._revision = 100
        self._oldest = 100
        self._leases = {}  # id: (ttl seconds, end)
        self._next_lease = 500
        self._era = era  # None: answers name no era.
        self._down = False
        self._copies = []  # (time, copy)
        super().__init__()
        threading.Thread(target=self._expire, daemon=True).start()

    # For the operator, the workers and the case.

    def put(self, key, value, lease=0):
        with self._state:
            self._put(key, value.encode(), lease)

    def remove(self, key):
        with self._state:
            self._remove(key)

    def value(self, key):
        with self._state:
            item = self._items.get(key)
            return item[0].decode() if item else None

    def set_down(self, down):
        self._down = down
        if down:
            self.reset_all()

    def copy(self):
        with self._state:
            return dict(self._items), self._revision, dict(self._leases), self._next_lease

    def come_back_from(self, copy):
        """The store comes back from a copy: what was written since is gone, and the era rises."""
        with self._state:
            items, self._revision, leases, self._next_lease = copy
            self._items, self._leases = dict(items), dict(leases)
            self._history = []
            self._oldest = self._revision
            self._era += 1
            self._state.notify_all()
        self._down = False

    # Inside; with the lock held.

    def _put(self, key, value, lease):
        self._revision += 1
        created = self._items[key][2] if key in self._items else self._revision
        self._items[key] = (value, self._revision, created, lease)
        self._history.append((self._revision, self._item(key)))
        self._state.notify_all()

    def _remove(self, key):
        if key in self._items:
            self._revision += 1
            del self._items[key]
            self._history.append((self._revision, {"key": key, "revision": self._revision, "removed": True}))
            self._state.notify_all()

    def _item(self, key):
        value, revision, created, lease = self._items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created,
                "lease": lease}

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item[3] == lease]:
            self._remove(key)

    def _expire(self):
        while not self._ended:
            time.sleep(0.05)
            with self._state:
                for lease in [lease for lease, (_, end) in self._leases.items() if time.monotonic() > end]:
                    self._end_lease(lease)

    def serve(self, connection, method, target, fields, body):
        if self._down:
            return False
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        status, answer = self._answer(method, url.path, query, json.loads(body) if body else {})
        if self._down:
            return False
        headers = {"Content-Type": "application/json"}
        if self._era is not None:
            headers["Store-Era"] = str(self._era)
        connection.sock.sendall(whole(status, headers, json.dumps(answer).encode()))
        return True

    def _answer(self, method, path, query, body):
        with self._state:
            if path == "/v1/kv-key":
                key = query.get("key", "")
                return (200, {**self._item(key), "at": self._revision}) if key in self._items else (404, {})
            if path == "/v1/kv-range":
                return self._range(query)
            if path == "/v1/kv-watch":
                return self._watch(query)
            if path == "/v1/kv-txn":
                return self._txn(body)
            if path == "/v1/kv-lease":
                self._next_lease += 1
                ttl = body["ttl_ms"]
                self._leases[self._next_lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
                return 200, {"lease": self._next_lease, "ttl_ms": ttl}
            if path.startswith("/v1/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self._leases:
                    return 404, {}
                ttl = self._leases[lease][0]
                self._leases[lease] = (ttl, time.monotonic() + ttl)
                return 200, {"ttl_ms": int(ttl * 1000)}
            if path.startswith("/v1/kv-lease-end/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self._leases:
                    return 404, {}
                self._end_lease(lease)
                return 200, {}
        return 404, {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        return 200, {"items": [self._item(key) for key in keys[:500]], "has_more": len(keys) > 500,
                     "at": self._revision}

    def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        era = self._era
        while True:
            if after < self._oldest or after > self._revision or era != self._era:
                return 410, {}
            events = [event for revision, event in self._history
                      if revision > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0 or self._down:
                return 200, {"events": events, "at": self._revision}
            self._state.wait(min(left, 0.1))

    def _txn(self, body):
        rows = body.get("precondition", [])
        for row in rows:
            current = self._items[row["key"]][1] if row["key"] in self._items else 0
            if current != row["revision"]:
                return 412, {"items": [self._item(row["key"]) for row in rows if row["key"] in self._items]}
        for put in body.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self._leases:
                return 404, {}
        for put in body.get("puts", []):
            self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        return 200, {"revision": self._revision}


# Workers ------------------------------------------------------------------------------------------------------------


class Worker(Server):
    """A worker of a plain service, or of a streaming one; it reports itself in the store every 1.2 s."""

    HEARTBEAT_S = 1.2

    def __init__(self, record, store, name, service, zone="buda", slots=6, work_s=0.015, host="127.0.0.1", port=0):
        self.record, self.store, self.name, self.service, self.zone, self.slots = record, store, name, service, zone, slots
        self.work_s = work_s
        self.born = now_ms()
        self.state = "ready"
        self.leaving = False  # Says so in all its answers.
        self.runs = {}  # id: times
        self.arrivals = []  # (monotonic time, id)
        self.sequence = 0
        self._registers = True
        super().__init__(host, port)
        self.report()
        threading.Thread(target=self._beat, daemon=True).start()

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born}

    def report(self):
        self.store.put(f"servers/{self.name}", json.dumps(self.entry()))

    def stop_reporting(self):
        self._registers = False

    def _beat(self):
        while not self._ended:
            time.sleep(self.HEARTBEAT_S)
            if self._registers and not self._ended:
                self.sequence += 1
                try:
                    self.report()
                except Exception:  # The store may be away.
                    pass

    def fields(self, request):
        fields = {"X-Attempt-Id": request}
        if self.leaving:
            fields["Server-Leaving"] = "1"
        return fields

    def serve(self, connection, method, target, fields, body):
        request = fields.get("x-attempt-id", "")
        if target.startswith("/v1/") or target == "/healthz":
            connection.sock.sendall(whole(200, {"X-Instance-Id": self.name}, b"{}"))
            return True
        if fields.get("x-target-instance", self.name) != self.name:
            connection.sock.sendall(whole(421, {"X-Not-Executed": "1", "X-Instance-Id": self.name,
                                                "X-Attempt-Id": request}))
            return True
        self.arrivals.append((time.monotonic(), request))
        self.record.write(f"arrives at {self.name}: {request}")
        return self.run(connection, request, method, target, fields, body)

    def note_run(self, request):
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record.write(f"runs at {self.name}: {request}")

    def run(self, connection, request, method, target, fields, body):
        self.note_run(request)
        time.sleep(self.work_s)
        connection.sock.sendall(whole(200, {**self.fields(request), "X-Server-Signature": f"sig.{request}"},
                                      f"{self.name}:{request}".encode()))
        return True


# The operator -------------------------------------------------------------------------------------------------------


def route(name, prefix, kind, service, timeout_ms, target_ms, attempts=2, **more):
    return {"name": name, "hostname": HOST_NAME, "prefix": prefix, "route_type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": 1, "service": service, "max_attempts": attempts,
            "allow_anonymous": False, **more}


def configuration(version, routes, services):
    return json.dumps({
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]})


def plain_service(name):
    return {"name": name, "health_check_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": False,
            "cold_start_s": 0.0, "cold_per_s": 0.0}


# The project's own processes ----------------------------------------------------------------------------------------


class Gateway:
    """A gateway of the deploy file, as a process. Its machine has a loopback address of its own."""

    def __init__(self, folder, store, name, host, zone, ports, seeds, memory_mb=390):
        self.name, self.host, self.ports = name, host, ports
        self._settings = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        values = {"node_name": name, "zone": zone, "region": "kozep", "ip": host, "listen.front": f"{host}:{ports[0]}",
                  "listen.ready": f"{host}:{ports[1]}", "internal_port_range.0": str(ports[2]),
                  "platform.address": store, "seeds|json": json.dumps([f"{seed}:{ports[3]}" for seed in seeds]),
                  "bounds.budget_window_s": "10", "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "90",
                  "bounds.grace_s": "8", "limits.memory_mb": str(memory_mb), "limits.max_fds": "6300"}
        with open(os.path.join(ROOT, "deploy", "gateway.yaml"), encoding="utf-8") as template:
            text = re.sub(r"\{\{([^}]*)\}\}", lambda match: values[match.group(1)], template.read())
        with open(self._settings, "w", encoding="utf-8") as settings:
            settings.write(text)
        self.process = None

    def start(self):
        program = os.path.join(ROOT, "target", "src", "bronzechuted")
        self.process = subprocess.Popen([program, "--settings", self._settings], cwd=ROOT,
                                        stdout=open(self.log, "ab"), stderr=subprocess.STDOUT,
                                        env={"PATH": os.environ["PATH"], "HOME": "/tmp"})

    def ready(self):
        try:
            return fetch(self.host, self.ports[1], "GET", "/v1/readyz", timeout_s=1).status == 200
        except OSError:
            return False

    def wait_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.ready():
                return True
            time.sleep(0.05)
        return False

    def rss_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.alive():
            self.process.send_signal(number)

    def end(self):
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Site:
    """The small deployment of a case; ends everything that it started."""

    def __init__(self, case_folder, era=None):
        self.folder = tempfile.mkdtemp(prefix="bronzechute-review-")
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.store = Store(era)
        self.workers = []
        self.gateways = []
        self._ports = [free_port() for _ in range(4)]

    def worker(self, kind, *arguments, **options):
        worker = kind(self.record, self.store, *arguments, **options)
        self.workers.append(worker)
        return worker

    def gateway(self, name, zone="buda", store=None, **options):
        host = f"127.0.0.{len(self.gateways) + 2}"
        gateway = Gateway(self.folder, store or self.store.address, name, host, zone, self._ports, ["127.0.0.2"],
                          **options)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        for worker in self.workers:
            worker.end()
        self.store.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for name in os.listdir(self.folder):
                shutil.copy(os.path.join(self.folder, name), keep)
        shutil.rmtree(self.folder, ignore_errors=True)


# Clients ------------------------------------------------------------------------------------------------------------


class Answer:
    def __init__(self, status, fields, body, complete):
        self.status, self.fields, self.body, self.complete = status, fields, body, complete


def read_answer(connection):
    head = connection.read_head()
    if head is None:
        return Answer(0, {}, b"", False)
    line, fields = head
    status = int(line.split(" ")[1])
    if "content-length" in fields:
        body = connection.read_exact(int(fields["content-length"]))
        return Answer(status, fields, body or b"", body is not None)
    body = b""
    while True:
        size = connection.read_until(b"\r\n")
        if size is None:
            return Answer(status, fields, body, False)
        count = int(size.split(b";")[0], 16)
        part = connection.read_exact(count + 2)
        if part is None:
            return Answer(status, fields, body, False)
        if count == 0:
            return Answer(status, fields, body, True)
        body += part[:-2]


def request_bytes(method, path, request, deadline_ms, body=b"", more=None):
    fields = {"Host": HOST_NAME, "X-Attempt-Id": request, "X-Deadline-Ms": str(deadline_ms),
              "Authorization": f"Bearer {KEY}", **(more or {})}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return (text + "\r\n").encode() + body


def fetch(host, port, method, path, request="", deadline_ms=1000, body=b"", more=None, timeout_s=10):
    """One request on a new channel. A status of 0 stands for no answer."""
    with socket.create_connection((host, port), timeout=timeout_s) as sock:
        sock.sendall(request_bytes(method, path, request, deadline_ms, body, more))
        try:
            return read_answer(Connection(sock))
        except OSError:
            return Answer(0, {}, b"", False)


class Client:
    """Sends requests on new channels, and records what was sent and answered."""

    def __init__(self, record, gateway):
        self.record, self.gateway = record, gateway
        self.sent = {}  # id: monotonic time
        self.answers = {}  # id: Answer

    def send(self, method, path, request, deadline_ms=1000, body=b"", more=None):
        self.sent[request] = time.monotonic()
        self.record.write(f"sent to {self.gateway.name}: {request} {method} {path}")
        try:
            answer = fetch(self.gateway.host, self.gateway.ports[0], method, path, request, deadline_ms, body, more,
                           deadline_ms / 1000 + 2)
        except OSError:
            answer = Answer(0, {}, b"", False)
        self.answers[request] = answer
        self.record.write(f"answered by {self.gateway.name}: {request} {answer.status}"
                          f"{'' if answer.complete else ' incomplete'}"
                          f"{' Server-Leaving' if 'server-leaving' in answer.fields else ''}"
                          f" signature {answer.fields.get('x-server-signature', 'none')}")
        return answer

    def send_later(self, *arguments, **options):
        thread = threading.Thread(target=self.send, args=arguments, kwargs=options, daemon=True)
        thread.start()
        return thread
