"""Streams at a worker that is silent for 1.2 s, while the gateway is stopped with SIGTERM.

With TROUBLE=0 the worker is not silent; the SIGTERM is the same.
"""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import standins

STREAMS = 8
GRACE_S = 8.0
# Until then a gateway does not use the fixed part of its retry budget.
WARM_UP_S = 11.0
SILENCE_S = 1.2
SILENT_AFTER = 10  # events


class PreemptingWorker(standins.StreamWorker):
    """Preempts each stream once in its middle, as its memory is full, and reads the prompt again."""

    async def pause_after(self, request, fields, number, sent):
        is_preempted = standins.has_trouble() and number == SILENT_AFTER
        if is_preempted:
            self.record.write(f"worker {self.id} preempts {request} after event {number}")
        await asyncio.sleep(SILENCE_S if is_preempted else self.interval_s)


async def case(record, folder, gateways):
    store = standins.Store()
    await store.start()
    worker = PreemptingWorker(1, "model", store, record)
    route = standins.route("chat", "streaming", "model", 8000, resumable=True, sticky=True, target_gap_ms=120)
    store.put("op/config", standins.configuration(1, [route], ["model"], {"office": ["key-1"]}))
    await worker.start()
    gateway = standins.Gateway(folder, store.address)
    gateways.append(gateway)
    await gateway.start()
    await asyncio.sleep(WARM_UP_S)

    def stream(number):
        fields = [("Authorization", "Bearer key-1"), ("X-Deadline-Ms", "8000"), ("X-Model", "m"),
                  ("X-Token-Count", "700,140"), ("X-Prompt-Prefix", f"a1:40,b{number}:660")]
        return standins.send(gateway, record, f"request-{number}", "POST", "/chat/x", fields, b"text")

    calls = [asyncio.create_task(stream(number)) for number in range(STREAMS)]
    await asyncio.sleep(0.3)
    record.write("SIGTERM to the gateway")
    stopped = time.monotonic()
    gateway.process.send_signal(signal.SIGTERM)
    replies = await asyncio.gather(*calls)
    run = {request for _, request, _, _, _ in worker.runs}
    cut = 0
    for number, reply in enumerate(replies):
        last_sixth = reply.ended >= stopped + GRACE_S * 5 / 6
        time_over = reply.ended - reply.sent >= 7.9
        if f"request-{number}" in run and not reply.complete and not last_sixth and not time_over:
            cut += 1
            record.write(f"request-{number} was cut {reply.ended - stopped:.2f} s after the SIGTERM, "
                         f"{reply.ended - reply.sent:.2f} s after it was sent")
    print(f"{cut} of {STREAMS} streams were cut")
    return cut == 0


standins.run_case(case)
