"""Workers that spoil a few answers with bytes without end, where a chunked body is due, until the caller closes."""

import os
import random
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from harness import API_KEY, HOST, Gateway, Store, Stream, configuration, listen, register, run_case, serve, trouble

WORKERS = 16
FAULTY = 9  # The site's doses of garble go to a share of 0.6.
SPOILED = 0.05  # Of the answers of a faulty worker: the site's doses of garble go to 0.05.
SLOTS = 12
PER_S = 75  # The site's streams in a second, over all machines.
RUN_S = 95
FRONTS = 2  # The site has four; the loss of any number of them is to be borne.
RESTART_AFTER_S = 0.5
LINK_BYTES_PER_S = 1500e6 / 8  # The link of the front machine.
MEMORY_MIB = 390  # memory_mb of the smallest front machine of the site.
BUDGET_MS = 8000
EVENTS = 10
GAP_S = 0.03


class Link:
    """Shares the bytes that the machine's link carries in a second."""

    def __init__(self):
        self._lock = threading.Lock()
        self._free_at = time.monotonic()

    def pass_bytes(self, count):
        with self._lock:
            self._free_at = max(self._free_at, time.monotonic()) + count / LINK_BYTES_PER_S
            delay = self._free_at - time.monotonic()
        if delay > 0:
            time.sleep(delay)


class Engine:
    def __init__(self, store, record, identity, faulty, link, answered):
        self._record, self._identity, self._faulty, self._link = record, identity, faulty, link
        self._random = random.Random(identity)
        self.taken = answered
        self.spoiled = 0
        server = listen()
        serve(server, self._session)
        register(store, identity, "huvo11a", "127.0.0.1:%d" % server.getsockname()[1], SLOTS, int(time.time() * 1000))

    def _session(self, connection):
        stream = Stream(connection)
        try:
            while True:
                request = stream.message()
                if request.headers.get("x-target-instance", self._identity) != self._identity:
                    connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                    continue
                attempt = request.headers["x-attempt-id"]
                self.taken.setdefault(attempt, []).append((self._identity, self._faulty))
                self._record(f"worker {self._identity} runs {attempt}")
                time.sleep(0.08)
                connection.sendall(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt.encode()
                                   + b"\r\nX-Server-Signature: 3e1b.07\r\nContent-Type: text/event-stream\r\n"
                                   b"Transfer-Encoding: chunked\r\n\r\n")
                if self._faulty and self._random.random() < SPOILED:
                    self._spoil(connection, attempt)
                for number in range(1, EVENTS + 1):
                    event = b"id: %d\ndata: %s-%d\n\n" % (number, attempt.encode(), number)
                    connection.sendall(b"%x\r\n" % len(event) + event + b"\r\n")
                    time.sleep(GAP_S)
                connection.sendall(b"0\r\n\r\n")
        except OSError:
            connection.close()

    def _spoil(self, connection, attempt):
        """Sends bytes where the size of a chunk and its line end are due, until the caller closes."""
        self.spoiled += 1
        self._record(f"worker {self._identity} spoils the answer to {attempt}")
        connection.sendall(b"40;")
        noise = b"x" * 262144
        while True:
            self._link.pass_bytes(len(noise))
            connection.sendall(noise)


class Front:
    """A front machine: the platform kills its process when that holds more than memory_mb, and starts it again."""

    def __init__(self, store, record, scratch, gateways, number):
        self._store, self._record, self._scratch, self._gateways = store, record, scratch, gateways
        self._host, self._node = f"127.0.0.{number + 1}", f"front-buda-{number + 1}"
        self.peak = 0.0
        self.ends = 0
        self._back_at = 0.0
        self._start()
        self.gateway.wait_until_ready()

    def _start(self):
        self.gateway = Gateway(self._store, self._scratch, host=self._host, node=self._node)
        self._gateways.append(self.gateway)

    def check(self):
        now = time.monotonic()
        if self._back_at:
            if now >= self._back_at:
                self._start()
                self._back_at = 0.0
            return
        memory = self.gateway.memory_mb()
        self.peak = max(self.peak, memory)
        if memory > MEMORY_MIB * 1.048576:
            self._record(f"platform: {self._node} holds {memory:.0f} MB, over memory_mb ({MEMORY_MIB} MiB); it is killed")
            self.gateway.process.kill()
        if self.gateway.process.poll() is not None:
            self._record(f"platform: the process of {self._node} has ended")
            self.ends += 1
            self._back_at = now + RESTART_AFTER_S


class Client:
    """One kept channel, with one request at a time."""

    def __init__(self, front, record):
        self._front, self._record = front, record
        self._connection = None
        self.busy = False
        self.lost = []
        self.served = 0
        self.kept = False  # Whether the channel has carried an earlier request.

    def front(self):
        return self._front

    def send(self):
        attempt = uuid.uuid4().hex[:16]
        begun = False
        try:
            if self._connection is None:
                self.kept = False
                self._connection = self._front.gateway.connect(BUDGET_MS / 1000)
            self._connection.sendall(
                (f"POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {BUDGET_MS}\r\n"
                 f"X-Model: m\r\nX-Token-Count: 400,50\r\nX-Prompt-Prefix: 91bd:40,{attempt[:8]}:360\r\n"
                 f"Authorization: Bearer {API_KEY}\r\nContent-Length: 2\r\n\r\nhi").encode())
            stream = Stream(self._connection)
            stream._more()
            begun = True
            answer = stream.message()
            self.served += answer.status == 200
            self._record(f"client {attempt} answered {answer.status}")
            self.kept = True
            if answer.headers.get("connection", "").lower() == "close":
                self.close()
        except (OSError, ValueError) as problem:
            self._record(f"client {attempt} channel closed {'within' if begun else 'without'} an answer ({problem})")
            if not begun and self.kept:
                self.lost.append(attempt)
            self.close()
        self.busy = False

    def close(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def send_one(front, clients, record):
    client = next((client for client in clients if not client.busy and client.front() is front), None)
    if client is None:
        client = Client(front, record)
        clients.append(client)
    client.busy = True
    threading.Thread(target=client.send, daemon=True).start()


def case(record, folder, gateways):
    store = Store()
    route = {"name": "r-greetings", "hostname": HOST, "prefix": "/lohu930/", "route_type": "streaming",
             "timeout_ms": BUDGET_MS, "target_latency_ms": 400, "priority": 1, "service": "huvo11a", "max_attempts": 2,
             "sticky": True, "resumable": True, "target_gap_ms": 120}
    store.put("op/config", configuration([route], [{"name": "huvo11a", "max_connections": 408}]))
    link, taken = Link(), {}
    engines = [Engine(store, record, f"i-{index}", trouble() and index < FAULTY, link, taken)
               for index in range(WORKERS)]
    fronts = [Front(store, record, folder, gateways, number) for number in range(FRONTS)]
    clients = []
    begin = time.monotonic()
    sent = 0
    while time.monotonic() - begin < RUN_S:
        for front in fronts:
            front.check()
        if sent < (time.monotonic() - begin) * PER_S:
            send_one(fronts[sent % FRONTS], clients, record)
            sent += 1
        else:
            time.sleep(0.003)
    end = time.monotonic() + BUDGET_MS / 1000 + 2
    while any(client.busy for client in clients) and time.monotonic() < end:
        time.sleep(0.05)
    lost = [attempt for client in clients for attempt in client.lost
            if attempt in taken and not any(faulty for _, faulty in taken[attempt])]
    for attempt in lost:
        record(f"LOST: {attempt} had been passed on to a sound worker, and its kept channel ended without an answer")
    served = sum(client.served for client in clients)
    ends = [front.ends for front in fronts]
    record(f"sent {sent}, served {served}, spoiled {sum(engine.spoiled for engine in engines)}, "
           f"peaks {[round(front.peak) for front in fronts]} MB, ends of processes {ends}, "
           f"lost at sound workers {len(lost)}")
    if sum(ends) == 0 and served < 0.5 * sent:
        raise RuntimeError("too few requests were served")
    faults = sum(1 for count in ends if count >= 3) >= 2
    return faults or (sum(ends) > 0 and len(lost) > 3)


run_case(os.path.dirname(os.path.abspath(__file__)), case)
