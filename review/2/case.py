"""Case 2: a caller gets the answer of another request, as a prompt crashed a worker while the gateway was frozen."""

import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

import harness

ROUTE = "/lohu930/"
FREEZE_S = 2.0  # At most 4 s in sites/diszbor.toml.
WORKERS, SLOTS = 3, 12
BACK_S = 2.0  # A worker that has crashed is back after some seconds.
FIRST_EVENT_S, EVENT_S, EVENTS = 0.08, 0.04, 5
READING_S = 0.3  # For the long prompt that crashes the worker.
WARM_UP_S = 3.0
CLIENTS = 9
FOLLOWING = 3  # Sound requests of each client after the one with the bad part.
PAUSE_S = 0.6  # Between an answer and the next request of a client; longer than an answer takes.
SHARED_PART, BAD_PART = "5c1e07a2", "bad0f00d"


class ModelWorker:
    """Answers with a stream. It crashes when it begins to write an answer on the bad part, and comes back later."""

    def __init__(self, store, record, name, crashes):
        self._store, self._record, self._name, self._crashes = store, record, name, crashes
        self._runs = 0
        self._start()

    def _start(self):
        self._runs += 1
        self._identity, self._alive, self._connections = f"{self._name}-{self._runs}", True, set()
        self._server = harness.listen()
        harness.serve(self._server, self._session)
        harness.register(self._store, self._identity, "iroda-nyelv", "127.0.0.1:%d" % self._server.getsockname()[1],
                         SLOTS, int(time.time() * 1000))

    def _crash(self):
        """Ends like a process: nothing listens any more, and all connections are closed."""
        self._record(f"worker {self._identity} crashes")
        self._alive = False
        try:
            self._server.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._server.close()
        for connection in list(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        identity = self._identity
        threading.Timer(BACK_S, self._come_back, (identity,)).start()

    def _come_back(self, identity):
        self._store.remove("servers/" + identity)
        self._start()

    def _session(self, connection):
        identity = self._identity
        self._connections.add(connection)
        stream = harness.Stream(connection)
        try:
            while True:
                request = stream.message()
                attempt = request.headers["x-attempt-id"]
                self._record(f"worker {identity} runs {attempt}")
                bad = BAD_PART in request.headers["x-prompt-prefix"]
                time.sleep(READING_S if bad else FIRST_EVENT_S)
                connection.sendall(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt.encode()
                                   + b"\r\nX-Server-Signature: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\n"
                                     b"Transfer-Encoding: chunked\r\n\r\n")
                if bad and self._crashes and self._alive and identity == self._identity:
                    self._crash()
                    return
                for number in range(1, EVENTS + 1):
                    time.sleep(EVENT_S)
                    event = b"id: %d\ndata: %s-%d\n\n" % (number, attempt.encode(), number)
                    connection.sendall(b"%x\r\n" % len(event) + event + b"\r\n")
                connection.sendall(b"0\r\n\r\n")
        except (OSError, ValueError):
            pass
        finally:
            connection.close()


def request(attempt, parts):
    body = b"draft"
    head = (f"POST {ROUTE}2f HTTP/1.1\r\nHost: {harness.HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n"
            f"X-Token-Count: 700,25\r\nX-Prompt-Prefix: {parts}\r\nX-Deadline-Ms: 8000\r\n"
            f"Authorization: Bearer {harness.API_KEY}\r\nContent-Length: {len(body)}\r\n\r\n")
    return head.encode(), body


class Client:
    """Sends its requests one after the other on a kept channel; its answers have to be those of its requests."""

    def __init__(self, gateway, record, name):
        self._record, self._name = record, name
        self._connection = gateway.connect(12)
        self._stream = harness.Stream(self._connection)
        self.foreign = []  # Answers that belong to another request than the one that waits for an answer.
        self.answered = 0

    def send(self, attempt, parts):
        head, body = request(attempt, parts)
        self._connection.sendall(head + body)

    def begin(self, attempt, parts):
        """Sends the head; the body follows with finish()."""
        head, self._body = request(attempt, parts)
        self._connection.sendall(head)

    def finish(self):
        self._connection.sendall(self._body)

    def receive(self, attempt):
        message = self._stream.message()
        belongs = message.headers.get("x-attempt-id")
        self.answered += 1
        if belongs not in (attempt, None):
            self.foreign.append((attempt, belongs, message.status))
            self._record(f"the client of {attempt} gets {message.first} with X-Attempt-Id {belongs}")
        return message

    def warm_up(self, until):
        number = 0
        while time.monotonic() < until:
            number += 1
            attempt = f"{self._name}-w{number}"
            self.send(attempt, f"{SHARED_PART}:40,{self._name}:400,{number:x}:200")
            self.receive(attempt)

    def follow(self, attempt):
        """Receives the answer to the request with the bad part, then sends sound requests."""
        try:
            message = self.receive(attempt)
            self._record(f"the client of {attempt} gets {message.first}")
            for number in range(FOLLOWING):
                time.sleep(PAUSE_S)
                following = f"{self._name}-f{number}"
                self.send(following, f"{SHARED_PART}:40,{self._name}:400,f{number:x}:200")
                self.receive(following)
        except (OSError, ValueError) as problem:
            self._record(f"the channel of {self._name} ends: {problem}")


def case(record, scratch, gateways):
    store = harness.Store()
    for number in range(WORKERS):
        ModelWorker(store, record, f"i-{number}", harness.trouble())
    store.put("op/config", harness.configuration(
        [{"name": "gyaszlevel", "hostname": harness.HOST, "prefix": ROUTE, "route_type": "streaming",
          "service": "iroda-nyelv", "timeout_ms": 8000, "target_latency_ms": 400, "target_gap_ms": 120,
          "max_attempts": 2, "priority": 1, "resumable": True, "sticky": True}],
        [{"name": "iroda-nyelv", "max_connections": 408, "health_check_path": "/healthz"}]))
    gateway = harness.Gateway(store, scratch)
    gateways.append(gateway)
    gateway.wait_until_ready()
    clients = [Client(gateway, record, f"c{number}") for number in range(CLIENTS)]
    until = time.monotonic() + WARM_UP_S
    warming = [threading.Thread(target=client.warm_up, args=(until,)) for client in clients]
    for thread in warming:
        thread.start()
    for thread in warming:
        thread.join()
    first = [Client(gateway, record, f"y{number}") for number in range(1)]
    for number, client in enumerate(first):
        client.send(f"y{number}", f"{SHARED_PART}:40,{BAD_PART}:900,{number + 1:x}:100")
    time.sleep(0.1)
    for number, client in enumerate(clients):
        client.begin(f"x{number}", f"{SHARED_PART}:40,{BAD_PART}:900,{number + 16:x}:100")
    time.sleep(0.05)
    if harness.trouble():
        gateway.freeze()
        record("the gateway is frozen (SIGSTOP)")
    time.sleep(0.05)
    for client in clients:
        client.finish()
    if harness.trouble():
        time.sleep(FREEZE_S)
        gateway.wake()
        record("the gateway goes on (SIGCONT)")
    following = [threading.Thread(target=client.follow, args=(f"x{number}",), daemon=True)
                 for number, client in enumerate(clients)]
    for thread in following:
        thread.start()
    for thread in following:
        thread.join(20)
    time.sleep(1)
    ended = gateway.process.poll()
    foreign = [each for client in clients for each in client.foreign]
    record("the gateway " + ("still runs" if ended is None else f"has ended by itself with {ended}"))
    record(f"MIXED: {len(foreign)} answers belong to another request than the one that waited (request, answer of, "
           f"status): {foreign}")
    return len(foreign) > 0


if __name__ == "__main__":
    harness.run_case(HERE, case)
