"""Stand-in for a client that waits for each answer before it sends its next request (PROTOCOL.md)."""

import time

from harness import API_KEY, HOST, Stream


class Client:
    """Sends requests one after the other on a kept channel; opens a new one when it is closed."""

    def __init__(self, gateway, record, name, path, budget_ms, stop):
        self._gateway, self._record, self._name, self._path = gateway, record, name, path
        self._budget_ms, self._stop = budget_ms, stop
        self.lost = []  # Attempts on a kept channel that was closed without an answer.
        self.answered = 0

    def run(self):
        number = 0
        while not self._stop.is_set():
            kept = False
            try:
                with self._gateway.connect(10) as connection:
                    stream = Stream(connection)
                    while not self._stop.is_set():
                        number += 1
                        attempt = f"{self._name}-{number}"
                        connection.sendall(self._request(attempt))
                        try:
                            message = stream.message()
                        except (OSError, ValueError):
                            self._record(f"{attempt}: the channel ends without a complete answer")
                            if kept:
                                self.lost.append(attempt)
                            break
                        self.answered += 1
                        kept = True
                        if message.headers.get("connection", "").lower() == "close":
                            break
            except OSError:
                time.sleep(0.1)

    def _request(self, attempt):
        return (f"POST {self._path}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {self._budget_ms}\r\nAuthorization: Bearer {API_KEY}\r\n"
                f"Content-Length: {len(attempt)}\r\n\r\n{attempt}").encode()


def lost_at(clients, workers):
    """The attempts on kept channels that were passed on to one of the workers and not answered (rule LOST)."""
    passed_on = {attempt for worker in workers for attempt in worker.ran}
    return [attempt for client in clients for attempt in client.lost if attempt in passed_on]
