"""Stand-in for model workers that are ranks of a group (PROTOCOL.md, "Requests" and "Workers").

All ranks of a group begin each pass together; a pass gives each stream one event. The ranks take orders for their maps:
prepare, arm, hold and go. Reports are some hundred milliseconds old. A share of the orders can be left unanswered, which
are carried out 2 to 12 seconds later.
"""

import json
import random
import threading
import time

from harness import Stream, listen, register, serve

LAYERS, EXPERTS, PLACES, SPARE = 2, 16, 8, 4
COPY_S = 0.05  # For each expert that is new to a rank.
PASS_S = 0.08
REPORT_LAG_S = 0.2
LATE_S = (2, 12)
EVENTS = 8


class Rank:
    def __init__(self, experts):
        self.version, self.experts = 0, experts
        self.prepared = None  # (version, experts, time at which the copy is complete)
        self.armed = None  # (version, step)
        self.held = None
        self.highest = 0
        self.report = {}


class Group:
    def __init__(self, name, ranks, record):
        self.name, self._record = name, record
        self.changed = threading.Condition()
        first = [[[expert for expert in range(EXPERTS) if expert % ranks == rank] for _ in range(LAYERS)]
                 for rank in range(ranks)]
        self.ranks = [Rank(experts) for experts in first]
        self.step = 0
        self.hot = 0
        self.counts = [0.0] * (LAYERS * EXPERTS)
        self.mixed_passes = 0
        self.held_since = None
        self._reported_at = 0.0
        self._snapshot()
        threading.Thread(target=self._run, daemon=True).start()

    def _snapshot(self):
        now = time.monotonic()
        for number, rank in enumerate(self.ranks):
            report = {"group": {"name": self.name, "epoch": 1, "rank": number, "state": "open"},
                      "size": len(self.ranks), "step": self.step, "map": rank.version, "pace": 1.0}
            if rank.prepared and rank.prepared[2] <= now:
                report["prepared"] = rank.prepared[0]
            if rank.armed:
                report["armed"] = rank.armed[0]
            if rank.held:
                report["held"] = rank.held
            rank.report = report
        self._reported_at = now

    def _run(self):
        while True:
            time.sleep(PASS_S)
            with self.changed:
                if time.monotonic() - self._reported_at >= REPORT_LAG_S:
                    self._snapshot()
                if any(rank.held == self.step + 1 for rank in self.ranks):
                    self.held_since = self.held_since or time.monotonic()
                    continue
                self.held_since = None
                self._begin_pass()
                self.changed.notify_all()

    def _begin_pass(self):
        self.step += 1
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == self.step:
                rank.version, rank.experts = rank.prepared[0], rank.prepared[1]
                rank.armed = rank.prepared = None
        if len({rank.version for rank in self.ranks}) > 1:
            self.mixed_passes += 1
            self._record(f"group {self.name} begins pass {self.step} with versions "
                         f"{[rank.version for rank in self.ranks]}")
        for layer in range(LAYERS):
            for expert in range(EXPERTS):
                self.counts[layer * EXPERTS + expert] += 40 if (expert - self.hot) % EXPERTS in (0, 4, 8) else 3

    def order(self, number, request):
        """Carries an order out; returns its status."""
        with self.changed:
            status = self._apply(self.ranks[number], request, time.monotonic())
            detail = {name: request[name] for name in ("version", "step") if name in request}
            self._record(f"order {request['operation']} {detail} at {self.name}/{number}: {status}")
            return status

    def _apply(self, rank, request, now):
        operation = request["operation"]
        if request.get("epoch", 1) != 1:
            return 409
        if operation == "prepare":
            return self._prepare(rank, request, now)
        if operation == "arm":
            wanted = (request["version"], request["step"])
            if rank.armed == wanted:
                return 200
            ready = rank.prepared and rank.prepared[0] == wanted[0] and rank.prepared[2] <= now
            if rank.armed or not ready or request["step"] <= self.step:
                return 409
            rank.armed = wanted
            return 202
        if operation == "hold":
            if rank.held == request["step"]:
                return 200
            if rank.held and rank.held > self.step or request["step"] <= self.step:
                return 409
            rank.held = request["step"]
            return 202
        if operation == "go":
            if rank.held == request["step"]:
                rank.held = None
                return 202
            return 200
        return 400

    def _prepare(self, rank, request, now):
        experts = [layer[self.ranks.index(rank)] for layer in request["map"]]
        if rank.prepared and rank.prepared[0] == request["version"]:
            return 200 if rank.prepared[1] == experts else 409
        new = [len(set(wanted) - set(held)) for wanted, held in zip(experts, rank.experts)]
        if request["version"] <= rank.highest or rank.armed or max(new) > SPARE:
            return 409
        rank.highest = request["version"]
        rank.prepared = (request["version"], experts, now + sum(new) * COPY_S)
        return 202


class RankWorker:
    def __init__(self, store, record, group, number, service, slots, board):
        self._record, self._group, self._number, self._board = record, group, number, board
        self._identity = f"i-{group.name}-{number}"
        board.setdefault("workers", []).append(self._identity)
        self._random = random.Random(self._identity)
        server = listen()
        serve(server, self._session)
        register(store, self._identity, service, "127.0.0.1:%d" % server.getsockname()[1], slots,
                 int(time.time() * 1000))

    def _session(self, connection):
        stream = Stream(connection)
        extra = b""  # A second copy of an answer, which comes where the next answer is expected.
        try:
            while True:
                request = stream.message()
                if extra:
                    self._record(f"worker {self._identity} sends a second copy of an answer where the answer to "
                                 f"{request.first} is expected")
                    connection.sendall(extra)
                    extra = b""
                if request.headers.get("x-target-instance", self._identity) != self._identity:
                    connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                elif request.target.startswith("/v1/report"):
                    self._reply(connection, 200, self._group.ranks[self._number].report)
                elif request.target.startswith("/v1/picked"):
                    self._reply(connection, 200, self._picked("lists" in request.target))
                elif request.target == "/v1/order":
                    self._order(connection, json.loads(request.body))
                else:
                    answer = self._generate(connection, request.headers["x-attempt-id"],
                                            int(request.headers.get("last-event-id", 0)))
                    if self._random.random() < self._board.get("extra", {}).get(self._identity, 0.0):
                        extra = answer
        except OSError:
            connection.close()

    @staticmethod
    def _reply(connection, status, body):
        data = json.dumps(body).encode()
        connection.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                           % (status, len(data)) + data)

    def _picked(self, lists):
        rank = self._group.ranks[self._number]
        if lists:
            return {"map": {"version": rank.version, "experts": rank.experts}}
        return {"step": self._group.step, "epoch": 1, "counts": [round(count) for count in self._group.counts]}

    def _order(self, connection, order):
        if self._random.random() < self._board["late"]:
            delay = self._random.uniform(*LATE_S)
            self._record(f"order {order['operation']} at {self._identity} is left unanswered, and carried out in "
                         f"{delay:.1f} s")
            self._board["unanswered"] = order["operation"]
            threading.Timer(delay, self._group.order, (self._number, order)).start()
            return  # No answer.
        status = self._group.order(self._number, order)
        self._reply(connection, status, {})

    def _generate(self, connection, attempt, after):
        """Answers with a stream of events; returns all that it has sent."""
        answer = (b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt.encode() + b"\r\nX-Server-Signature: 3e1b.07\r\n"
                  b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        connection.sendall(answer)
        for number in range(after + 1, EVENTS + 1):
            with self._group.changed:
                step = self._group.step
                while self._group.step == step:
                    self._group.changed.wait(0.5)
                    if self._group.step == step and self._gone(connection):
                        raise ConnectionError("the caller has left")
            event = b"id: %d\ndata: %s-%d\n\n" % (number, attempt.encode(), number)
            chunk = b"%x\r\n" % len(event) + event + b"\r\n"
            connection.sendall(chunk)
            answer += chunk
        connection.sendall(b"0\r\n\r\n")
        return answer + b"0\r\n\r\n"

    @staticmethod
    def _gone(connection):
        connection.setblocking(False)
        try:
            return connection.recv(1, 2) == b""  # 2: MSG_PEEK
        except BlockingIOError:
            return False
        finally:
            connection.setblocking(True)
