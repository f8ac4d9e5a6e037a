"""Stand-in for a model worker as a process of its own: engine.py PORT ID TAINTED_PART.

Answers a request with a stream of events. Where a part of the prompt is tainted, the process crashes when it begins to
write an answer on it: it has sent the head of the answer and the beginning of the first event, and then dies.
"""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from harness import Stream, listen

FIRST_EVENT_S = 0.08
EVENTS = 4
GAP_S = 0.03


def session(connection, identity, tainted):
    stream = Stream(connection)
    try:
        while True:
            request = stream.message()
            if request.headers.get("x-target-instance", identity) != identity:
                connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                continue
            attempt = request.headers["x-attempt-id"].encode()
            parts = [entry.split(":")[0] for entry in request.headers.get("x-prompt-prefix", "").split(",")[:-1]]
            time.sleep(FIRST_EVENT_S)
            connection.sendall(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + b"\r\nX-Server-Signature: 3e1b.07\r\n"
                               b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            for number in range(1, EVENTS + 1):
                event = b"id: %d\ndata: %s-%d\n\n" % (number, attempt, number)
                chunk = b"%x\r\n" % len(event) + event + b"\r\n"
                if tainted in parts:
                    connection.sendall(chunk[:len(chunk) // 2])
                    os.kill(os.getpid(), signal.SIGKILL)
                connection.sendall(chunk)
                time.sleep(GAP_S)
            connection.sendall(b"0\r\n\r\n")
    except OSError:
        connection.close()


def main():
    port, identity, tainted = int(sys.argv[1]), sys.argv[2], sys.argv[3]
    server = listen(port=port)
    print("listening", flush=True)
    while True:
        connection, _ = server.accept()
        threading.Thread(target=session, args=(connection, identity, tainted), daemon=True).start()


main()
