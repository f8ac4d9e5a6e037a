"""A worker that fails runs an order and answers 503 without X-Not-Executed; the client is told that it has not run."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import fleet  # noqa: E402

SERVICE = "wuno96b"
ORDERS = 60


class FailingWorker(fleet.Worker):
    """While it fails, it runs every second order and then answers 503, without a word that the order has not run."""

    fails = False

    def run(self, connection, request, method, target, fields, body):
        self.note_run(request)
        time.sleep(self.work_s)
        failed = self.fails and len(self.runs) % 2 == 0
        answer = {**self.fields(request), "X-Server-Signature": f"sig.{request}"}
        connection.sock.sendall(fleet.whole(503 if failed else 200, answer, b"failed" if failed else b"booked"))
        return True


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = fleet.Site(FOLDER)
    try:
        return play(site, trouble)
    finally:
        site.end()


def play(site, trouble):
    record = site.record
    workers = [site.worker(FailingWorker, name, SERVICE) for name in ("i-000000a1", "i-000000b2", "i-000000c3")]
    site.store.put("op/config", fleet.configuration(
        7, [fleet.route("r-order", "/order/", "non_idempotent", SERVICE, 600, 100)], [fleet.plain_service(SERVICE)]))
    gateway = site.gateway("front-buda-1")
    if not gateway.wait_ready():
        record.write("the gateway did not start")
        return 2
    time.sleep(6)  # Workers that were just listed count as cold for some seconds.
    client = fleet.Client(record, gateway)
    workers[0].fails = trouble
    for number in range(ORDERS):
        client.send("POST", "/order/2f", f"order-{number}", 600, b"120 envelopes")
        time.sleep(0.02)
    ran = {request for worker in workers for request in worker.runs}
    broken = [request for request, answer in client.answers.items()
              if answer.status in (408, 421, 429, 503) and request in ran]
    served = sum(answer.status == 200 for answer in client.answers.values())
    record.write(f"orders: {ORDERS}, answered 200: {served}, answered 408, 421, 429 or 503 though they have run: "
                 f"{len(broken)} {broken}")
    if not trouble and served < ORDERS:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
