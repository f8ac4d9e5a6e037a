"""Keys that no configuration ever held, after the operator has taken away the last tenant.

With TROUBLE=0 the last tenant stays in the configuration and loses all its keys.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import standins

CONFIG_APPLY_S = 2.0
REQUESTS = 10


async def case(record, folder, gateways):
    store = standins.Store()
    await store.start()
    worker = standins.Worker(1, "office", store, record)
    route = standins.route("order", "non_idempotent", "office")
    store.put("op/config", standins.configuration(1, [route], ["office"], {"office": ["key-1"]}))
    await worker.start()
    gateway = standins.Gateway(folder, store.address)
    gateways.append(gateway)
    await gateway.start()

    def order(request, key):
        return standins.send(gateway, record, request, "POST", "/order/x",
                             [("Authorization", "Bearer " + key), ("X-Deadline-Ms", "2000")], b"text")

    if (await order("held", "key-1")).status != 200 or (await order("unknown", "never-held")).status != 401:
        raise RuntimeError("the first configuration is not in force")
    tenants = {} if standins.has_trouble() else {"office": []}
    store.put("op/config", standins.configuration(5, [route], ["office"], tenants))
    record.write(f"the operator writes version 5 with the tenants {tenants}")
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    for number in range(REQUESTS):
        await order(f"never-held-{number}", f"never-held-{number}")
        await order(f"taken-away-{number}", "key-1")
    run = [request for _, request, _, _, _ in worker.runs]
    never = sum(request.startswith("never-held") for request in run)
    taken = sum(request.startswith("taken-away") for request in run)
    summary = (f"of {REQUESTS} requests each, {never} ran with keys that no configuration ever held, and {taken} with "
               "the key that was taken away")
    record.write(summary)
    print(summary)
    return never == 0 and taken == 0


standins.run_case(case)
