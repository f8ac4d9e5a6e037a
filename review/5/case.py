"""Requests with a part of a prompt that crashes workers, on kept channels, while the gateway's machine freezes."""

import os
import subprocess
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from harness import API_KEY, HOST, Gateway, Store, Stream, configuration, free_port, register, run_case, trouble

ENGINES = 4
SLOTS = 12
CLIENTS = 40
TAINTED = "5c1e07a2"
TAINTED_EVERY_S = 0.01
FREEZE_AFTER_S = 0.04  # After the first request with the part.
FREEZE_S = 1.0  # The site's doses of node_freeze go to 4 s.
BACK_AFTER_S = 2
BUDGET_MS = 8000


class Engine:
    """Keeps the process of a worker: a crashed one is back after some seconds, as a new incarnation."""

    def __init__(self, store, record, identity):
        self._store, self._record, self._identity = store, record, identity
        self.crashes = 0
        self._ended = False
        self._port = free_port()
        self._start()
        threading.Thread(target=self._watch, daemon=True).start()

    def _start(self):
        program = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins", "engine.py")
        self.process = subprocess.Popen([sys.executable, program, str(self._port), self._identity, TAINTED],
                                        stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        self.process.stdout.readline()
        register(self._store, self._identity, "huvo11a", f"127.0.0.1:{self._port}", SLOTS, int(time.time() * 1000))

    def _watch(self):
        while not self._ended:
            self.process.wait()
            if self._ended:
                return
            self.crashes += 1
            self._record(f"worker {self._identity} crashed")
            time.sleep(BACK_AFTER_S)
            if not self._ended:
                self._start()
                self._record(f"worker {self._identity} is back")

    def end(self):
        self._ended = True
        self.process.kill()


class Client:
    """Sends one request after the other on a channel that it keeps, each when the answer to the last is complete."""

    def __init__(self, gateway, record):
        self._gateway, self._record = gateway, record
        self._connection = None
        self._stream = None
        self.foreign = []
        self.served = 0

    def send(self, part):
        attempt = uuid.uuid4().hex[:16]
        try:
            if self._connection is None:
                self._connection = self._gateway.connect()
                self._stream = Stream(self._connection)
            self._record(f"client {attempt} sends, first part {part}")
            self._connection.sendall(
                (f"POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {BUDGET_MS}\r\n"
                 f"X-Model: m\r\nX-Token-Count: 400,20\r\nX-Prompt-Prefix: {part}:40,{attempt[:8]}:360\r\n"
                 f"Authorization: Bearer {API_KEY}\r\nContent-Length: 2\r\n\r\nhi").encode())
            answer = self._stream.message()
        except (OSError, ValueError) as problem:
            self._record(f"client {attempt} channel closed ({problem})")
            self._close()
            return
        own = answer.headers.get("x-attempt-id", attempt)
        self._record(f"client {attempt} answered {answer.status}, X-Attempt-Id {own}")
        if own != attempt:
            self.foreign.append((attempt, own, answer.status))
            self._close()
            return
        self.served += answer.status == 200
        if answer.headers.get("connection", "").lower() == "close":
            self._close()

    def _close(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def case(record, folder, gateways):
    store = Store()
    route = {"name": "r-greetings", "hostname": HOST, "prefix": "/lohu930/", "route_type": "streaming",
             "timeout_ms": BUDGET_MS, "target_latency_ms": 400, "priority": 1, "service": "huvo11a", "max_attempts": 2,
             "sticky": True, "resumable": True, "target_gap_ms": 120}
    store.put("op/config", configuration([route], [{"name": "huvo11a", "max_connections": 408}]))
    engines = []
    try:
        engines += [Engine(store, record, f"i-{index}") for index in range(ENGINES)]
        gateway = Gateway(store, folder)
        gateways.append(gateway)
        gateway.wait_until_ready()
        return play(record, engines, gateway)
    finally:
        for engine in engines:
            engine.end()


def play(record, engines, gateway):
    clients = [Client(gateway, record) for _ in range(CLIENTS)]
    go = threading.Barrier(CLIENTS + 1)

    def work(index):
        client = clients[index]
        for _ in range(4):  # Sound requests first, for over two seconds.
            client.send(f"91bd{index % 5:04x}")
            time.sleep(0.7)
        go.wait()
        time.sleep(TAINTED_EVERY_S * index)
        client.send(TAINTED if trouble() else "91bd0001")
        for number in range(6):
            time.sleep(0.4)
            client.send(f"91bd{number:04x}")

    threads = [threading.Thread(target=work, args=(index,), daemon=True) for index in range(CLIENTS)]
    for thread in threads:
        thread.start()
    go.wait()
    if trouble():
        time.sleep(FREEZE_AFTER_S)
        record("gateway freezes")
        gateway.freeze()
        time.sleep(FREEZE_S)
        gateway.wake()
        record("gateway wakes")
    for thread in threads:
        thread.join(60)
    foreign = [entry for client in clients for entry in client.foreign]
    for attempt, other, status in foreign:
        record(f"MIXED: request {attempt} got the answer {status} of request {other}")
    served = sum(client.served for client in clients)
    record(f"served {served}, crashes {sum(engine.crashes for engine in engines)}, foreign answers {len(foreign)}")
    if served < CLIENTS:
        raise RuntimeError("too few requests were served")
    return bool(foreign)


run_case(os.path.dirname(os.path.abspath(__file__)), case)
