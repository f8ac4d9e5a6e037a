"""Stand-in for the workers of a plain service (PROTOCOL.md, "Workers")."""

import threading
import time

from harness import Stream, listen, register, serve


class PlainWorker:
    """Runs each request for some milliseconds and answers 200 with a digest; records what it ran."""

    def __init__(self, store, record, identity, service, work_s=0.015, slots=6):
        self.identity = identity
        self.ran = {}
        self._record = record
        self._work_s = work_s
        self._lock = threading.Lock()
        self._server = listen()
        serve(self._server, self._session)
        address = "127.0.0.1:%d" % self._server.getsockname()[1]
        register(store, identity, service, address, slots, int(time.time() * 1000))

    def _session(self, connection):
        stream = Stream(connection)
        try:
            while True:
                request = stream.message()
                if request.headers.get("x-target-instance", self.identity) != self.identity:
                    connection.sendall(b"HTTP/1.1 421 X\r\nX-Instance-Id: " + self.identity.encode()
                                       + b"\r\nContent-Length: 0\r\n\r\n")
                    continue
                attempt = request.headers["x-attempt-id"]
                with self._lock:
                    self.ran[attempt] = self.ran.get(attempt, 0) + 1
                self._record(f"worker {self.identity} runs {attempt} ({request.body.decode()})")
                time.sleep(self._work_s)
                body = b"booked " + request.body
                connection.sendall(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt.encode()
                                   + b"\r\nX-Server-Signature: 3e1b.07.5a2\r\nContent-Length: %d\r\n\r\n" % len(body)
                                   + body)
        except OSError:
            connection.close()
