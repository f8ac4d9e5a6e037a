"""Orders of clients with slow links, while the gateway's machine freezes for four seconds."""

import os
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from harness import API_KEY, HOST, Gateway, Store, Stream, configuration, run_case, trouble
from workers import PlainWorker

CLIENTS = 24
RUN_S = 16
FREEZE_AT_S = 4
FREEZE_S = 4.0  # The site's largest dose of node_freeze.
HEAD_S = 0.4  # Time that a client takes for its header; header_timeout_ms is 3,000.
BUDGET_MS = 8000
PROMISES = {408, 421, 429, 503}  # "has not run and never will run"


class Client(threading.Thread):
    """Books orders one after the other on a kept channel, and repeats one only after a promise."""

    def __init__(self, gateway, record, name, end):
        super().__init__(daemon=True)
        self._gateway, self._record, self._name, self._end = gateway, record, name, end
        self.answers = {}  # By attempt.
        self.orders = {}  # Attempt to order.

    def run(self):
        connection = None
        for number in range(10000):
            order = f"order {self._name}-{number}"
            for _ in range(2):  # The first attempt and one retry.
                if time.monotonic() > self._end:
                    return
                attempt = uuid.uuid4().hex[:16]
                self.orders[attempt] = order
                try:
                    connection = connection or self._gateway.connect()
                    status = self._send(connection, attempt, order)
                except OSError as problem:
                    self._record(f"client {attempt} channel closed ({problem})")
                    status = 0
                self.answers[attempt] = status
                if status != 200 and connection is not None:
                    connection.close()
                    connection = None
                if status not in PROMISES:
                    break

    def _send(self, connection, attempt, order):
        connection.settimeout(BUDGET_MS / 1000)
        head = (f"POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {BUDGET_MS}\r\n"
                f"Authorization: Bearer {API_KEY}\r\nContent-Length: {len(order)}\r\n\r\n").encode()
        self._record(f"client {attempt} begins ({order})")
        connection.sendall(head[:40])
        time.sleep(HEAD_S)
        connection.sendall(head[40:] + order.encode())
        self._record(f"client {attempt} sent in full")
        answer = Stream(connection).message()
        self._record(f"client {attempt} answered {answer.status}")
        return answer.status


def case(record, folder, gateways):
    store = Store()
    route = {"name": "r-orders", "hostname": HOST, "prefix": "/puxa403/", "route_type": "non_idempotent",
             "timeout_ms": BUDGET_MS, "target_latency_ms": 100, "priority": 2, "service": "wuno96b", "max_attempts": 1}
    store.put("op/config", configuration([route], [{"name": "wuno96b", "max_connections": 100}]))
    workers = [PlainWorker(store, record, f"i-{name}", "wuno96b") for name in ("a", "b", "c")]
    gateway = Gateway(store, folder)
    gateways.append(gateway)
    gateway.wait_until_ready()
    time.sleep(0.5)
    end = time.monotonic() + RUN_S
    clients = [Client(gateway, record, f"c{index}", end) for index in range(CLIENTS)]
    for client in clients:
        time.sleep(0.02)
        client.start()
    time.sleep(FREEZE_AT_S)
    if trouble():
        record("gateway freezes")
        gateway.freeze()
        time.sleep(FREEZE_S)
        gateway.wake()
        record("gateway wakes")
    for client in clients:
        client.join(RUN_S + 10)
    time.sleep(1)
    ran = {}
    for worker in workers:
        ran.update(worker.ran)
    answers = {attempt: status for client in clients for attempt, status in client.answers.items()}
    orders = {attempt: order for client in clients for attempt, order in client.orders.items()}
    refused = sorted(attempt for attempt, status in answers.items() if status in PROMISES)
    broken = [attempt for attempt in refused if attempt in ran]
    booked = {}
    for attempt in ran:
        booked.setdefault(orders.get(attempt, "?"), []).append(attempt)
    for attempt in broken:
        record(f"BROKEN: {attempt} was answered {answers[attempt]} and has run; {orders[attempt]} was run "
               f"{len(booked[orders[attempt]])} time(s) in all")
    record(f"requests {len(answers)}, answered 200 {list(answers.values()).count(200)}, refused {len(refused)}, "
           f"refused and run {len(broken)}, orders run more than once "
           f"{sum(1 for attempts in booked.values() if len(attempts) > 1)}")
    if list(answers.values()).count(200) < CLIENTS:
        raise RuntimeError("too few orders were served")
    return bool(broken)


run_case(os.path.dirname(os.path.abspath(__file__)), case)
