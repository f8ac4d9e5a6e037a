"""A streaming service of which one prompt part crashes the workers; used by the cases 12, 13 and 14."""

import threading
import time

import fleet

SERVICE = "huvo11a"
STABILITY_S = 3.0  # stability_window_ms of the site
CRASHES_BEFORE = 5
ALLOWED = 3  # Requests with the part that may still reach workers
DOWN_S = 2.0
EVENTS = 28
WORKERS = 6
DEADLY = "deadbee5"


class StreamWorker(fleet.Worker):
    """Answers with 28 events. Crashes on the deadly part while `is_deadly` is true; is back after some seconds."""

    is_deadly = True
    interval_s = 0.02
    events_before_crash = 0
    head_before_crash = True

    def run(self, connection, request, method, target, fields, body):
        self.note_run(request)
        time.sleep(0.05)
        crashes = self.is_deadly and f"{DEADLY}:" in fields.get("x-prompt-prefix", "")
        if crashes and not self.head_before_crash:
            return self.crash()
        connection.sock.sendall(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                                 f"X-Attempt-Id: {request}\r\nX-Server-Signature: sig.{request}\r\n\r\n").encode())
        first = int(fields.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            if crashes and number - first >= self.events_before_crash:
                return self.crash()
            event = f"id: {number}\ndata: {request}-{number}\n\n".encode()
            connection.sock.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            time.sleep(self.interval_s)
        connection.sock.sendall(b"0\r\n\r\n")
        return True

    def crash(self):
        if not self._ended:
            self.record.write(f"crash of {self.name}")
            self.stop_reporting()
            self.end()
            self.on_crash(self)
        return False


class Service:
    """The workers, each on an address of its own; a crashed one comes back under its id and address."""

    def __init__(self, site, worker_kind):
        self._site, self._kind = site, worker_kind
        self.crashes = []  # Monotonic times
        self._ended = False
        for number in range(WORKERS):
            self._start(f"i-0000000{number}", f"127.0.1.{number + 1}", 0)
        site.store.put("op/config", fleet.configuration(
            7, [fleet.route("r-stream", "/stream/", "streaming", SERVICE, 8000, 400, sticky=True, resumable=True,
                            target_gap_ms=120)], [fleet.plain_service(SERVICE)]))

    def _start(self, name, host, port):
        worker = self._site.worker(self._kind, name, SERVICE, slots=12, host=host, port=port)
        worker.on_crash = self._on_crash

    def _on_crash(self, worker):
        self.crashes.append(time.monotonic())

        def come_back():
            time.sleep(DOWN_S)
            if not self._ended:
                self._start(worker.name, worker.host, worker.port)
                self._site.record.write(f"{worker.name} is back")
        threading.Thread(target=come_back, daemon=True).start()

    def end(self):
        self._ended = True


def play(site, worker_kind, trouble, play_s, gap_s, shared, is_deadly_request, every_tick=None):
    """Sends streams, one each gap_s: sound ones and, with trouble, those with the deadly part among the shared ones."""
    record = site.record
    service = Service(site, worker_kind)
    gateway = site.gateway("front-buda-1")
    if not gateway.wait_ready():
        record.write("the gateway did not start")
        return 2
    time.sleep(6)  # Workers that were just listed count as cold for some seconds.
    client = fleet.Client(record, gateway)
    begun = time.monotonic()
    count = 0
    while time.monotonic() < begun + play_s:
        if every_tick:
            every_tick(time.monotonic() - begun)
        if trouble and is_deadly_request(count):
            name, prompt = f"deadly-{count}", f"{shared},{DEADLY}:200,{0xB0000000 + count:x}:100"
        else:
            name, prompt = f"sound-{count}", f"{shared},{0xA0000000 + count:x}:100"
        client.send_later("POST", "/stream/2f", name, 8000,
                          more={"X-Model": "m", "X-Token-Count": "800,140", "X-Prompt-Prefix": prompt})
        count += 1
        time.sleep(gap_s)
    time.sleep(3)
    service.end()
    return judge(site, service, client, trouble)


def judge(site, service, client, trouble):
    record = site.record
    sound = {name: answer for name, answer in client.answers.items() if name.startswith("sound-")}
    lost = [name for name, answer in sound.items() if answer.status != 200 or not answer.complete]
    if not trouble:
        record.write(f"sound requests without a whole answer: {len(lost)} of {len(sound)}")
        return 0 if not lost else 2
    if len(service.crashes) < CRASHES_BEFORE:
        record.write(f"only {len(service.crashes)} crashes; sound requests without a whole answer: {len(lost)}")
        return 0
    bound = sorted(service.crashes)[CRASHES_BEFORE - 1] + STABILITY_S
    late = [request for worker in site.workers for at, request in worker.arrivals
            if request.startswith("deadly-") and at > bound]
    record.write(f"crashes: {len(service.crashes)}; arrivals of requests with the part later than {STABILITY_S} s after "
                 f"the fifth: {len(late)}, allowed {ALLOWED}; sound requests without a whole answer: {len(lost)} of "
                 f"{len(sound)}")
    return 1 if len(late) > ALLOWED else 0
