"""Case 5: bytes without end from one worker, where the size of a chunk is due, fill the memory of the gateway."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

import harness
from clients import Client, lost_at
from workers import PlainWorker

MODEL_ROUTE, ORDER_ROUTE = "/lohu930/", "/puxa403/"
MEMORY_MB = 390  # DEPLOY.md: memory_mb of a front machine; a process that exceeds it is killed.
RESTART_S = 0.5
BYTES_PER_S = 100e6  # 800 Mbit/s, of the 1,500 of the gateway's link.
MODEL_WORKERS, SPOILED_SHARE = 3, 20  # One of three workers spoils one in 20 of its answers.
EVENTS, EVENT_S = 10, 0.08
STREAM_CLIENTS, ORDER_CLIENTS = 6, 12
LENGTH_S = 25.0


class ModelWorker:
    """Answers with a stream; a faulty one sends, for some requests, bytes without end in place of the first chunk."""

    def __init__(self, store, record, identity, faulty):
        self._identity, self._record, self._faulty = identity, record, faulty
        self._count = 0
        server = harness.listen()
        harness.serve(server, self._session)
        harness.register(store, identity, "iroda-nyelv", "127.0.0.1:%d" % server.getsockname()[1], 12,
                         int(time.time() * 1000))

    def _session(self, connection):
        stream = harness.Stream(connection)
        try:
            while True:
                request = stream.message()
                attempt = request.headers["x-attempt-id"]
                self._count += 1
                connection.sendall(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt.encode()
                                   + b"\r\nX-Server-Signature: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\n"
                                     b"Transfer-Encoding: chunked\r\n\r\n")
                if self._faulty and self._count % SPOILED_SHARE == 0:
                    self._spoil(connection, attempt)
                    return
                for number in range(1, EVENTS + 1):
                    time.sleep(EVENT_S)
                    event = b"id: %d\ndata: %s\n\n" % (number, attempt.encode())
                    connection.sendall(b"%x\r\n" % len(event) + event + b"\r\n")
                connection.sendall(b"0\r\n\r\n")
        except OSError:
            connection.close()

    def _spoil(self, connection, attempt):
        self._record(f"worker {self._identity} sends bytes without end to {attempt}, in the body, until its caller "
                     "closes the channel")
        block, sent, begin = b"5" * 65536, 0, time.monotonic()
        try:
            while True:
                connection.sendall(block)
                sent += len(block)
                ahead = sent / BYTES_PER_S - (time.monotonic() - begin)
                if ahead > 0.002:
                    time.sleep(ahead)
        except OSError:
            self._record(f"the channel of {attempt} was closed after {sent / 1e6:.0f} MB and "
                         f"{time.monotonic() - begin:.1f} s")
            connection.close()


def case(record, scratch, gateways):
    store = harness.Store()
    plain = [PlainWorker(store, record, f"i-app-{number}", "iroda-app", work_s=0.1) for number in range(2)]
    for number in range(MODEL_WORKERS):
        ModelWorker(store, record, f"i-nyelv-{number}", harness.trouble() and number == 0)
    store.put("op/config", harness.configuration(
        [{"name": "cimzes", "hostname": harness.HOST, "prefix": MODEL_ROUTE, "route_type": "streaming",
          "service": "iroda-nyelv", "timeout_ms": 8000, "target_latency_ms": 400, "target_gap_ms": 120,
          "max_attempts": 2, "priority": 1, "resumable": False},
         {"name": "rendeles", "hostname": harness.HOST, "prefix": ORDER_ROUTE, "route_type": "non_idempotent",
          "service": "iroda-app", "timeout_ms": 1000, "target_latency_ms": 300, "max_attempts": 1, "priority": 2}],
        [{"name": "iroda-nyelv", "max_connections": 408, "health_check_path": "/healthz"},
         {"name": "iroda-app", "max_connections": 100, "health_check_path": "/healthz"}]))
    gateway = harness.Gateway(store, scratch)
    gateways.append(gateway)
    gateway.wait_until_ready()
    stop = threading.Event()
    orders = [Client(gateway, record, f"o{number}", ORDER_ROUTE, 1000, stop) for number in range(ORDER_CLIENTS)]
    streams = [Client(gateway, record, f"s{number}", MODEL_ROUTE, 8000, stop) for number in range(STREAM_CLIENTS)]
    for client in orders + streams:
        threading.Thread(target=client.run, daemon=True).start()
    begin, peak, kills = time.monotonic(), 0.0, 0
    while time.monotonic() - begin < LENGTH_S:
        memory = gateway.memory_mb()
        peak = max(peak, memory)
        if memory > MEMORY_MB:
            record(f"the gateway holds {memory:.0f} MB; the platform kills it, as it exceeds memory_mb = {MEMORY_MB}, "
                   "and starts it again")
            kills += 1
            gateway.process.kill()
            gateway.process.wait()
            time.sleep(RESTART_S)
            gateway.start()
        elif gateway.process.poll() is not None:
            record(f"the gateway has ended by itself with {gateway.process.returncode}; the platform starts it again")
            time.sleep(RESTART_S)
            gateway.start()
        time.sleep(0.01)
    stop.set()
    time.sleep(1.5)
    lost = lost_at(orders, plain)
    record(f"{sum(client.answered for client in orders)} orders and {sum(client.answered for client in streams)} "
           f"streams answered; peak memory {peak:.0f} MB; killed {kills} times for its memory")
    record(f"LOST: {len(lost)} orders of kept channels were passed on to a sound worker and their channel was closed "
           "without an answer (more than 3 break the rule)")
    return len(lost) > 3


if __name__ == "__main__":
    harness.run_case(HERE, case)
