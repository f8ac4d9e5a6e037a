"""Stand-ins and helpers shared by the scripts of the review.

The gateway is the project's own program, started with the command and the settings template of the deploy file. The
store, the workers and the clients are stand-ins in this process, on loopback addresses and the real clock. They do what
the users' pages (PROTOCOL.md, DEPLOY.md) say and behave like sound peers where the pages are silent.
"""

import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

HELD, BROKEN, NOT_RUN = 0, 1, 2


def trouble():
    """Whether the disruption is to be caused: TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._begin = time.monotonic()

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._begin:8.3f} {text}\n")
            self._file.flush()


def listen(host="127.0.0.1", port=0, backlog=512):
    server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind((host, port))
    server.listen(backlog)
    return server


def free_port(host="127.0.0.1", kind=socket.SOCK_STREAM):
    probe = socket.socket(socket.AF_INET, kind)
    probe.bind((host, 0))
    port = probe.getsockname()[1]
    probe.close()
    return port


def reset(connection):
    """Closes a connection with a reset, as the system does for a process that crashes with unread data."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass


class Message:
    """An HTTP message that was received in full."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def target(self):
        return self.first.split(" ")[1]


class Stream:
    """Reads HTTP messages from a connection; bytes beyond a message stay for the next one."""

    def __init__(self, connection):
        self.connection = connection
        self.pending = b""

    def _more(self):
        data = self.connection.recv(65536)
        if not data:
            raise ConnectionError("closed by the peer")
        self.pending += data

    def _take(self, count):
        while len(self.pending) < count:
            self._more()
        data, self.pending = self.pending[:count], self.pending[count:]
        return data

    def _line(self):
        while b"\r\n" not in self.pending:
            self._more()
        line, self.pending = self.pending.split(b"\r\n", 1)
        return line

    def head(self):
        first = self._line().decode("latin-1")
        headers = {}
        while True:
            line = self._line().decode("latin-1")
            if not line:
                return first, headers
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()

    def message(self):
        first, headers = self.head()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int(self._line().split(b";")[0], 16)
                if size == 0:
                    while self._line():
                        pass
                    break
                body += self._take(size)
                self._take(2)
        elif "content-length" in headers:
            body = self._take(int(headers["content-length"]))
        return Message(first, headers, body)


def serve(server, handle):
    """Accepts connections until the socket is closed, with a thread for each."""

    def loop():
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=handle, args=(connection,), daemon=True).start()

    threading.Thread(target=loop, daemon=True).start()


class Store:
    """The platform's store: items, watches, transactions and leases (PROTOCOL.md)."""

    def __init__(self):
        self._changed = threading.Condition()
        self._items = {}
        self._history = []
        self._revision = 1
        self._leases = {}
        self._next_lease = 100
        self._server = listen()
        self.address = "127.0.0.1:%d" % self._server.getsockname()[1]
        serve(self._server, self._session)
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, key, value, lease=0):
        text = value if isinstance(value, str) else json.dumps(value)
        with self._changed:
            self._put(key, base64.b64encode(text.encode()).decode(), lease)
            self._changed.notify_all()

    def remove(self, key):
        with self._changed:
            self._remove(key)
            self._changed.notify_all()

    def _put(self, key, value, lease):
        self._revision += 1
        created = self._items[key]["created"] if key in self._items else self._revision
        item = {"key": key, "value": value, "revision": self._revision, "created": created, "lease": lease}
        self._items[key] = item
        self._history.append(item)

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._history.append({"key": key, "revision": self._revision, "removed": True})

    def _expire(self):
        while True:
            time.sleep(0.05)
            with self._changed:
                now = time.monotonic()
                for lease in [name for name, (end, _) in self._leases.items() if end <= now]:
                    self._end(lease)

    def _end(self, lease):
        del self._leases[lease]
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            self._remove(key)
        self._changed.notify_all()

    def _session(self, connection):
        stream = Stream(connection)
        try:
            while True:
                request = stream.message()
                method = request.first.split(" ")[0]
                parts = urllib.parse.urlsplit(request.target)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                body = json.loads(request.body) if request.body else {}
                status, reply = self._answer(method, parts.path, query, body)
                data = json.dumps(reply).encode()
                connection.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                   % (status, len(data)) + data)
        except (OSError, ValueError):
            connection.close()

    def _answer(self, method, path, query, body):
        with self._changed:
            if path == "/v1/kv-key":
                item = self._items.get(query["key"])
                return (200, dict(item, at=self._revision)) if item else (404, {})
            if path == "/v1/kv-range":
                items = [self._items[key] for key in sorted(self._items)
                         if key.startswith(query["prefix"]) and key > query.get("after", "")]
                return 200, {"items": items, "has_more": False, "at": self._revision}
            if path == "/v1/kv-watch":
                return self._watch(query)
            if path == "/v1/kv-txn":
                return self._transact(body)
            if path == "/v1/kv-lease":
                self._next_lease += 1
                self._leases[self._next_lease] = (time.monotonic() + body["ttl_ms"] / 1000, body["ttl_ms"])
                return 200, {"lease": self._next_lease, "ttl_ms": body["ttl_ms"]}
            lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
            if lease not in self._leases:
                return 404, {}
            if path.startswith("/v1/kv-keep/"):
                ttl = self._leases[lease][1]
                self._leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"ttl_ms": ttl}
            self._end(lease)
            return 200, {}

    def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [event for event in self._history
                      if event["revision"] > after and event["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self._revision}
            self._changed.wait(left)

    def _transact(self, body):
        for row in body.get("precondition", []):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in body.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self._leases:
                return 404, {}
        for put in body.get("puts", []):
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        self._changed.notify_all()
        return 200, {"revision": self._revision}


# Settings and bounds of the users' smallest site (diszbor).
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
BOUNDS = {"budget_window_s": 10, "retry_budget_ratio": 0.2, "budget_slack": 90, "grace_s": 8}
MACHINE = {"memory_mb": 390, "max_fds": 6300}  # As in the example of DEPLOY.md.
API_KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"


def configuration(routes, services, version=1):
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS,
            "tenants": [{"name": "hule930", "api_keys": [API_KEY]}]}


def register(store, identity, service, address, slots, born, state="ready", zone="buda"):
    store.put("servers/" + identity,
              {"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state,
               "cold_remaining_ms": 0, "stage": "mixed", "models": [{"name": "m", "version": 1, "adapters": []}],
               "sequence": 0, "born": born})


class Gateway:
    """A gateway process with the command and the settings template of the deploy file."""

    def __init__(self, store, folder, host="127.0.0.1", node="front-buda-1", zone="buda", seeds=(), peers_port=None):
        self.host = host
        self.port = free_port(host)
        self.status_port = free_port(host)
        peers_port = peers_port or free_port(host, socket.SOCK_DGRAM)
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        values = {"node_name": node, "zone": zone, "region": "kozep", "ip": host,
                  "listen": {"front": f"{host}:{self.port}", "ready": f"{host}:{self.status_port}"},
                  "internal_port_range": [peers_port, peers_port + 15],
                  "platform": {"address": store.address}, "seeds": [f"{seed}:{peers_port}" for seed in seeds],
                  "bounds": BOUNDS, "limits": MACHINE}
        settings = os.path.join(folder, f"boot-{node}.yaml")
        with open(os.path.join(REPOSITORY, role["template"]), encoding="utf-8") as template:
            text = re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", lambda match: self._fill(values, match), template.read())
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        command = role["run"].split(" ")
        if not os.path.exists(os.path.join(REPOSITORY, command[0])):
            raise FileNotFoundError(command[0] + " is not built; run the build of the deploy file")
        self._command = [settings if word == "/etc/bronzechute/boot.toml" else word for word in command]
        self._environment = dict(os.environ, BRONZECHUTE_CONFIG=settings)
        self.log_path = os.path.join(folder, f"log-{node}.txt")
        self.start()

    def start(self):
        """Starts the process, also once more after it has ended, as the platform does (DEPLOY.md, "Ends")."""
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self._command, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=log, env=self._environment)

    @staticmethod
    def _fill(values, match):
        value = values
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return json.dumps(value) if match[2] else str(value)

    def ready(self):
        try:
            with socket.create_connection((self.host, self.status_port), 1) as connection:
                connection.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return Stream(connection).message().status == 200
        except OSError:
            return False

    def wait_until_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.ready():
                return
            time.sleep(0.05)
        raise TimeoutError("the gateway did not become ready")

    def connect(self, timeout=10):
        connection = socket.create_connection((self.host, self.port), timeout)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)

    def wake(self):
        self.process.send_signal(signal.SIGCONT)

    def memory_mb(self):
        """Resident memory in units of 10^6 bytes, or 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


def run_case(folder, case):
    """Runs a case in a temporary folder; exits with HELD, BROKEN or NOT_RUN. Gateways that it appends are ended."""
    record = Record(folder)
    scratch = tempfile.mkdtemp()
    gateways = []
    result = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # Ends what was started, too.
    try:
        record("disruption: " + ("on" if trouble() else "off (TROUBLE=0)"))
        result = BROKEN if case(record, scratch, gateways) else HELD
    except Exception as problem:  # The case could not run: said in the record.
        record(f"not run: {type(problem).__name__}: {problem}")
    finally:
        for gateway in gateways:
            gateway.end()
        shutil.rmtree(scratch, ignore_errors=True)
    record({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[result])
    sys.stdout.flush()
    os._exit(result)
