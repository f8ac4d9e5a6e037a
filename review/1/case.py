"""Case 1: orders that a caller was told have not run (408) run all the same, after a freeze of the gateway."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

import harness
from workers import PlainWorker

ROUTE = "/puxa403/"
BUDGET_MS = 8000
FREEZE_S = 4.0  # Largest dose of node_freeze in sites/diszbor.toml.
SENDING_S = 0.3  # Time that a client takes for the head of its request; the limit, header_timeout_ms, is 3 s.
ORDERS = 8  # In each round.
ROUNDS = 3
PROMISES = (408, 421, 429, 503)  # "Not run, and never will be".


def order(attempt, text):
    body = text.encode()
    head = (f"POST {ROUTE}2f HTTP/1.1\r\nHost: {harness.HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {BUDGET_MS}\r\nAuthorization: Bearer {harness.API_KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode()
    return head + body


class Client:
    """Books one order; books it again, on a new channel, after the promise that it has not run."""

    def __init__(self, gateway, record, number):
        self.gateway, self.record, self.number = gateway, record, number
        self.answers = {}  # Statuses by attempt, in order.
        self.answered = threading.Event()

    def begin(self):
        """Sends the first part of the head."""
        data = order(f"o{self.number}-1", f"{20 + self.number} envelopes")
        self.connection = self.gateway.connect(15)
        self.connection.sendall(data[:60])
        self.rest = data[60:]

    def finish(self):
        """Sends the rest of the request and waits for its answer in a thread of its own."""
        self.connection.sendall(self.rest)
        threading.Thread(target=self._await, daemon=True).start()

    def _await(self):
        first = self._read(self.connection, f"o{self.number}-1", 1)
        if first and first[0] in PROMISES:
            time.sleep(0.2)
            with self.gateway.connect(5) as again:
                again.sendall(order(f"o{self.number}-2", f"{20 + self.number} envelopes"))
                self._read(again, f"o{self.number}-2", 1)
        self._read(self.connection, f"o{self.number}-1", 2)  # What else comes on the first channel.
        self.answered.set()

    def _read(self, connection, attempt, count):
        statuses = self.answers.setdefault(attempt, [])
        stream = harness.Stream(connection)
        connection.settimeout(10 if not statuses else 1.5)
        try:
            while len(statuses) < count:
                message = stream.message()
                statuses.append(message.status)
                self.record(f"the client of {attempt} gets {message.first}, X-Attempt-Id "
                            f"{message.headers.get('x-attempt-id')}")
        except (OSError, ValueError):
            pass
        return statuses


def freeze_while_orders_arrive(gateway, record, first):
    """One round: orders whose request is under way when the gateway is frozen. Returns their clients."""
    clients = [Client(gateway, record, first + number) for number in range(ORDERS)]
    for client in clients:
        client.begin()
    record(f"{ORDERS} clients have sent the first part of their request")
    time.sleep(SENDING_S / 2)
    if harness.trouble():
        gateway.freeze()
        record("the gateway is frozen (SIGSTOP)")
    time.sleep(SENDING_S / 2)
    for client in clients:
        client.finish()
    record(f"the clients have sent the rest, {SENDING_S} s after the first part")
    if harness.trouble():
        time.sleep(FREEZE_S - SENDING_S / 2)
        gateway.wake()
        record("the gateway goes on (SIGCONT)")
    for client in clients:
        client.answered.wait(20)
    return clients


def case(record, scratch, gateways):
    store = harness.Store()
    workers = [PlainWorker(store, record, f"i-{number}", "iroda-app", work_s=0.015) for number in range(3)]
    store.put("op/config", harness.configuration(
        [{"name": "rendeles", "hostname": harness.HOST, "prefix": ROUTE, "route_type": "non_idempotent",
          "service": "iroda-app", "timeout_ms": BUDGET_MS, "target_latency_ms": 400, "max_attempts": 1, "priority": 2}],
        [{"name": "iroda-app", "max_connections": 100, "health_check_path": "/healthz"}]))
    gateway = harness.Gateway(store, scratch)
    gateways.append(gateway)
    gateway.wait_until_ready()
    clients = []
    for number in range(ROUNDS):
        clients += freeze_while_orders_arrive(gateway, record, number * ORDERS)
    time.sleep(1)
    ran = {attempt for worker in workers for attempt in worker.ran}
    refused = [attempt for client in clients for attempt, statuses in client.answers.items()
               if statuses and statuses[0] in PROMISES]
    broken = [attempt for attempt in refused if attempt in ran]
    twice = [client.number for client in clients
             if f"o{client.number}-1" in ran and f"o{client.number}-2" in ran]
    record(f"REFUSED: of {len(refused)} orders that were answered with a promise, {len(broken)} have run: {broken}; "
           f"orders booked twice, as their client came back after the promise: {twice}")
    return len(broken) > 0


if __name__ == "__main__":
    harness.run_case(HERE, case)
