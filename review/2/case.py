"""Workers send a second copy of some answers, and carry some orders out late; maps are switched meanwhile."""

import os
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from harness import API_KEY, HOST, Gateway, Store, Stream, configuration, free_port, run_case, trouble
from ranks import COPY_S, EXPERTS, LAYERS, PLACES, SPARE, Group, RankWorker

import socket

GROUPS, RANKS, SLOTS = 2, 8, 12
FRONTS = 1
PER_S = 100
CALM_S = 12
RUN_S = 104
EXTRA_SHARE = 0.05  # Of the answers of 9 of the 16 workers: the doses of garble go to 0.6 of the workers and 0.05.
LATE_SHARE = 0.5  # Of the orders: the dose of applied_late that `fleetbench kinds` names.
SHIFT_S = 2
BUDGET_S = 8
GAP_S = 2  # Clients abandon a stream after a gap of two seconds.


class Front:
    def __init__(self, store, folder, gateways, number, port):
        self._start = lambda: Gateway(store, folder, host=f"127.0.0.{number + 1}", node=f"front-{number + 1}",
                                      seeds=[f"127.0.0.{other + 1}" for other in range(FRONTS)], peers_port=port)
        self._gateways = gateways
        self.node = f"front-{number + 1}"
        self.start()

    def start(self):
        self.gateway = self._start()
        self._gateways.append(self.gateway)


def stream(front, record, outcomes, sent_at):
    """One client's request with one retry; notes whether it was served, by the time at which it was sent."""
    end = time.monotonic() + BUDGET_S
    served = False
    for _ in range(2):
        attempt = uuid.uuid4().hex[:16]
        left = end - time.monotonic()
        if left <= 0:
            break
        pause, connection = 0.0, None
        try:
            connection = front.gateway.connect(1)
            connection.settimeout(min(GAP_S, left))
            connection.sendall(
                (f"POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                 f"X-Deadline-Ms: {int(left * 1000)}\r\nX-Model: m\r\nX-Token-Count: 400,40\r\n"
                 f"X-Prompt-Prefix: 91bd:40,{attempt[:8]}:360\r\nAuthorization: Bearer {API_KEY}\r\n"
                 "Content-Length: 2\r\n\r\nhi").encode())
            answer = Stream(connection).message()
            served = answer.status == 200
            pause = float(answer.headers.get("retry-after", 0))
            record(f"client {attempt} at {front.node}: {answer.status}")
        except (OSError, ValueError) as problem:
            record(f"client {attempt} at {front.node}: {problem}")
        finally:
            if connection is not None:
                connection.close()
        if served:
            break
        time.sleep(min(pause, max(0.0, (end - time.monotonic()) / 3)))
    outcomes.append((sent_at, served))


def share(outcomes, begin, end):
    wanted = [served for sent_at, served in outcomes if begin <= sent_at < end]
    return sum(wanted) / max(1, len(wanted))


def case(record, folder, gateways):
    store, board = Store(), {"late": 0.0}
    route = {"name": "r-greetings", "hostname": HOST, "prefix": "/lohu930/", "route_type": "streaming",
             "timeout_ms": 8000, "target_latency_ms": 400, "priority": 1, "service": "huvo11a", "max_attempts": 2,
             "sticky": True, "resumable": True, "target_gap_ms": 120}
    engine = {"slots": SLOTS, "kv_tokens": 372000, "link_mbps": 92000.0, "expert_mb": COPY_S * 92000 / 8, "stride": 5,
              "step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036, "read_per_s": 61200.0, "chunk": 512,
              "report_lag_ms": 200.0, "usual": {"prompt": 400, "answer": 40}, "sets": LAYERS, "experts": EXPERTS,
              "places": PLACES, "spare": SPARE, "expert_share": 0.85, "form_ms": 600.0}
    store.put("op/config", configuration([route], [{"name": "huvo11a", "max_connections": 408, "engine": engine}]))
    groups = [Group(f"g{number}", RANKS, record) for number in range(GROUPS)]
    for group in groups:
        for number in range(RANKS):
            RankWorker(store, record, group, number, "huvo11a", SLOTS, board)
    port = free_port("127.0.0.1", socket.SOCK_DGRAM)
    fronts = [Front(store, folder, gateways, number, port) for number in range(FRONTS)]
    for front in fronts:
        front.gateway.wait_until_ready()
    outcomes, running = [], {"on": True}
    begin = time.monotonic()

    def traffic():
        sent = 0
        while running["on"]:
            if sent < (time.monotonic() - begin) * PER_S:
                threading.Thread(target=stream, daemon=True,
                                 args=(fronts[sent % FRONTS], record, outcomes, time.monotonic())).start()
                sent += 1
            else:
                time.sleep(0.004)

    def shifts():
        while running["on"]:
            time.sleep(SHIFT_S)
            for group in groups:
                with group.changed:
                    group.hot = (group.hot + 5) % EXPERTS
            record("other experts are in demand")

    threading.Thread(target=traffic, daemon=True).start()
    threading.Thread(target=shifts, daemon=True).start()
    time.sleep(CALM_S)
    if trouble():
        board["late"] = LATE_SHARE
        board["extra"] = {worker: EXTRA_SHARE for worker in board["workers"][::2] + board["workers"][1:2]}
        record("orders are carried out late; some answers come twice")
    while time.monotonic() < begin + RUN_S and not any(group.mixed_passes for group in groups):
        time.sleep(0.1)
    board.update(late=0.0, extra={})
    time.sleep(0.5)
    running["on"] = False
    mixed = sum(group.mixed_passes for group in groups)
    record(f"served in the calm {share(outcomes, begin + 5, begin + CALM_S - 2):.2f}; passes "
           f"{sum(group.step for group in groups)}, of them with two maps {mixed}")
    if share(outcomes, begin + 5, begin + CALM_S - 2) < 0.8:
        raise RuntimeError("the calm was not served")
    return mixed > 0


run_case(os.path.dirname(os.path.abspath(__file__)), case)
