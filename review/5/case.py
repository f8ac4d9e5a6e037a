"""Case 5: a gateway that is stopped as planned cuts streams that it accepted more than three seconds after the SIGTERM."""

import os
import random
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

import harness

ROUTE = "/lohu930/"
GRACE_S = 8.0
ROUNDS = 4
WORKERS, SLOTS = 6, 12
TOKENS_PER_EVENT = 5  # The engine's "stride".
EVENTS = range(8, 21)  # Up to 100 output tokens.
CHANNELS = 260  # Opened before the SIGTERM, as the platform forwards no new ones to a node that is not ready.
LOAD = 1.25  # Of what the workers can do; half of it at each gateway.
EXCUSED_SENT_S = 3.0  # A stream that was sent later than this after the SIGTERM has no excuse.


class StreamWorker:
    """A sound model worker: the more requests run, the more slowly each event is made (PROTOCOL.md)."""

    def __init__(self, store, record, identity):
        self._record, self._slots, self._running = record, threading.Semaphore(SLOTS), 0
        self.events = {}  # Events sent, by attempt.
        server = harness.listen()
        harness.serve(server, self._session)
        harness.register(store, identity, "iroda-nyelv", "127.0.0.1:%d" % server.getsockname()[1], SLOTS,
                         int(time.time() * 1000))

    def _session(self, connection):
        stream = harness.Stream(connection)
        try:
            while True:
                request = stream.message()
                with self._slots:
                    self._running += 1
                    try:
                        self._answer(connection, request)
                    finally:
                        self._running -= 1
        except OSError:
            connection.close()

    def _answer(self, connection, request):
        attempt = request.headers["x-attempt-id"]
        after = int(request.headers.get("last-event-id", 0))
        events = int(request.headers["x-token-count"].split(",")[1]) // TOKENS_PER_EVENT
        self.events.setdefault(attempt, 0)
        connection.sendall(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt.encode()
                           + b"\r\nX-Server-Signature: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\n"
                             b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(after + 1, events + 1):
            load = self._running / SLOTS
            time.sleep(0.25 + 0.1 * load if number == after + 1 else 0.09 + 0.04 * load)
            event = b"id: %d\ndata: %s\n\n" % (number, attempt.encode())
            connection.sendall(b"%x\r\n" % len(event) + event + b"\r\n")
            self.events[attempt] = number
        connection.sendall(b"0\r\n\r\n")


class Draft:
    """One streamed request of a client, on a channel of its own."""

    def __init__(self, attempt, events, record):
        self.attempt, self._events, self._record = attempt, events, record
        self.sent_at = self.ended_at = None
        self.outcome = "not sent"

    def send(self, connection):
        self.sent_at = time.monotonic()
        try:
            with connection:
                connection.settimeout(9)
                connection.sendall(
                    (f"POST {ROUTE}2f HTTP/1.1\r\nHost: {harness.HOST}\r\nX-Attempt-Id: {self.attempt}\r\n"
                     f"X-Model: m\r\nX-Token-Count: 700,{self._events * TOKENS_PER_EVENT}\r\nX-Deadline-Ms: 8000\r\n"
                     f"Authorization: Bearer {harness.API_KEY}\r\nContent-Length: 5\r\n\r\ndraft").encode())
                message = harness.Stream(connection).message()
                self.outcome = str(message.status)
        except (OSError, ValueError) as problem:
            self.outcome = f"cut ({problem})"
        self.ended_at = time.monotonic()
        self._record(f"{self.attempt} ({self._events} events) ends: {self.outcome}, "
                     f"{self.ended_at - self.sent_at:.2f} s after it was sent")


class Load:
    """Clients that keep the workers busy: each arrival is a draft at one of the two gateways."""

    def __init__(self, record, stopping, other, rate, name):
        self._record, self._stopping, self._other, self._rate, self._name = record, stopping, other, rate, name
        self._random = random.Random(name)
        self.drafts = []  # Those at the gateway that is to be stopped.
        self._opened = []  # Channels on which no request has been sent yet.

    def open_channels(self):
        """Clients open channels before the stop, and send their first request later."""
        self._opened = [self._stopping.connect(15) for _ in range(CHANNELS)]

    def run(self, seconds):
        end, number = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            number += 1
            draft = Draft(f"{self._name}-{number}", self._random.choice(EVENTS), self._record)
            try:
                if number % 2:
                    connection = self._other.connect(15)
                else:
                    connection = self._opened.pop(0) if self._opened else self._stopping.connect(15)
                    self.drafts.append(draft)
            except OSError:
                self._record(f"{draft.attempt}: no channel")
                continue
            threading.Thread(target=draft.send, args=(connection,), daemon=True).start()
            time.sleep(self._random.expovariate(self._rate))


def stop_under_load(record, stopping, other, workers, name):
    """Stops a gateway under load. Returns the attempts that it cut without an excuse."""
    full_stream_s = 0.35 + 0.13 * (sum(EVENTS) / len(EVENTS) - 1)
    load = Load(record, stopping, other, LOAD * WORKERS * SLOTS / full_stream_s, name)
    running = threading.Thread(target=load.run, args=(3.0 + GRACE_S,), daemon=True)
    running.start()
    time.sleep(3.0)
    load.open_channels()
    terminated = time.monotonic()
    if harness.trouble():
        stopping.process.send_signal(signal.SIGTERM)
        record(f"{name}: SIGTERM")
    running.join()
    time.sleep(4.0)
    cut = []
    for draft in load.drafts:
        run = any(draft.attempt in worker.events for worker in workers)
        if not run or not draft.outcome.startswith("cut"):
            continue
        late = draft.sent_at - terminated
        excused = late <= EXCUSED_SENT_S and draft.ended_at - terminated >= GRACE_S * 5 / 6
        record(f"{draft.attempt} was sent {late:.2f} s after the SIGTERM and its channel ended "
               f"{draft.ended_at - terminated:.2f} s after it, without a complete answer"
               + (": excused" if excused else ""))
        if not excused:
            cut.append(draft.attempt)
    return cut


def case(record, scratch, gateways):
    store = harness.Store()
    workers = [StreamWorker(store, record, f"i-{number}") for number in range(WORKERS)]
    store.put("op/config", harness.configuration(
        [{"name": "udvozlet", "hostname": harness.HOST, "prefix": ROUTE, "route_type": "streaming",
          "service": "iroda-nyelv", "timeout_ms": 8000, "target_latency_ms": 400, "target_gap_ms": 120,
          "max_attempts": 2, "priority": 1, "resumable": True, "sticky": True}],
        [{"name": "iroda-nyelv", "max_connections": 408, "health_check_path": "/healthz",
          "engine": {"slots": SLOTS, "stride": TOKENS_PER_EVENT, "step_ms": 5.85, "per_seq_ms": 0.355,
                     "context_per_k": 0.036, "read_per_s": 61200.0, "usual": {"prompt": 835, "answer": 70}}}]))
    hosts = ("127.0.0.1", "127.0.0.2")
    port = harness.free_port(hosts[0], socket.SOCK_DGRAM)
    stopping, other = (harness.Gateway(store, scratch, host=host, node=f"front-buda-{number}", seeds=hosts,
                                       peers_port=port) for number, host in enumerate(hosts, 1))
    gateways += [stopping, other]
    cut = []
    for round_number in range(ROUNDS):
        if stopping.process.poll() is not None:
            stopping.start()
        stopping.wait_until_ready()
        other.wait_until_ready()
        time.sleep(1.0)
        cut += stop_under_load(record, stopping, other, workers, f"r{round_number}")
        if harness.trouble():
            record(f"the gateway has exited with {stopping.process.wait(5)}")
    record(f"LOST: {len(cut)} streams were cut by the planned stop of their gateway without an excuse: {cut}")
    return len(cut) > 0


if __name__ == "__main__":
    harness.run_case(HERE, case)
