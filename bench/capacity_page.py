#!/usr/bin/env python3
"""Works out docs/CAPACITY.md from measured slopes and the design size.

Usage: capacity_page.py [--check]. With --check the page is not written; the exit code is 1 when it differs.
"""
import json
import os
import sys

sys.dont_write_bytecode = True

from capacity_fleet_sections import section_claims, section_evidence, section_maps, section_storm, section_store
from capacity_process_sections import section_configuration, section_entry, section_links, section_slopes
from capacity_text import number, size, table, verdict

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SLOPES = os.path.join(TOP, "bench", "capacity_slopes.json")
PAGE = os.path.join(TOP, "docs", "CAPACITY.md")

# name: (value, meaning). Section 1 of docs/design.md.
DESIGN = {
    "nodes": (380, "nodes with an entry"),
    "workers": (4700, "workers, each with an endpoint process"),
    "accelerators": (9400, "accelerators"),
    "data_centres": (27, "data centres"),
    "regions": (7, "regions"),
    "accounts": (960, "client accounts"),
    "models": (5, "models"),
    "changes_a_day": (2800, "configuration changes a day"),
    "requests": (8000, "requests a second at the peak"),
    "tokens": (1700000, "generated tokens a second at the peak"),
    "first_token_s": (1.6, "seconds to the first token"),
    "token_interval_s": (0.066, "seconds between tokens"),
    "ranks": (32, "ranks of a group"),
    "failed_vms": (71, "VMs that fail in a day"),
    "replaced_vms": (270, "VMs restarted or replaced in a day"),
    "cut_s": (3600, "seconds for which regions are cut from each other"),
    "core_limit": (0.015, "core, limit for control on a node"),
    "memory_limit": (128e6, "bytes, limit for control on a node"),
    "byte_limit": (11000, "bytes a second, limit for control on a node"),
    "in_force_s": (17, "seconds until a change is in force everywhere"),
    "store_reads": (2000, "calls a second (reads) of the store"),
}
# Not given by the design; chosen here and to be replaced when known.
ASSUMED = {
    "store_writes": (400, "writes a second of the store (\"several hundred\")"),
    "remote_links": (32, "endpoints outside its data centre to which an entry keeps connections"),
    "entries_an_endpoint": (2, "entries of its data centre for each endpoint, when entries take subsets"),
    "peers_an_entry": (2, "other entries to which an entry connects, when entries take subsets"),
    "rack_vms": (20, "VMs of a rack or switch"),
    "segment_bytes": (104, "bytes of TCP and IP headers for a segment and its acknowledgement"),
    "watchers_a_data_centre": (2, "entries of a data centre that watch the store"),
    "distance_s": (0.15, "seconds one way between the farthest regions"),
    "link_bytes": (125e6, "bytes a second of a VM's network"),
    "change_bytes": (500, "bytes of one change sent as a difference"),
    "events_per_replacement": (3, "events of the VM list for a VM that is replaced"),
}
# Constants of the code: link_options.h, etcd_connection.h, rebalance_decider.h.
CODE = {
    "heartbeat_s": (0.5, "seconds between heartbeats"),
    "silence_s": (2.5, "seconds until a silent connection is closed"),
    "redial_s": (2.0, "longest delay between attempts to connect"),
    "connect_s": (1.5, "seconds until an attempt to connect is given up"),
    "watch_silence_s": (3.0, "seconds until a silent watch is reopened"),
    "watch_retry_s": (2.0, "longest delay between attempts to reopen a watch"),
    "store_limit_bytes": (1e6, "bytes of a value in the store"),
    "frame_limit_bytes": (4 * 1024 * 1024, "bytes of a frame"),
    "switch_interval_s": (5, "shortest time between two rebalances of a group"),
    "start_calls": (8, "store calls of an entry that (re)connects: 2 listings, 2 watches, 2 reads, 1 grant, 1 write"),
    "incarnation_s": (10 / 3, "seconds between renewals of a lease of 10 s"),
    "switch_writes": (2, "store writes of a map switch: takeover and commit"),
}


class Model:
    """The slopes and constants, with the arithmetic on them."""

    def __init__(self, report):
        self.report = report
        self.series = report["series"]
        self.value = {}
        for table in (DESIGN, ASSUMED, CODE):
            self.value.update({name: entry[0] for name, entry in table.items()})

    def __getattr__(self, name):
        try:
            return self.value[name]
        except KeyError as missing:
            raise AttributeError(name) from missing

    def slope(self, name):
        return self.series[name]["slope"]

    def at(self, name, x):
        return self.series[name]["intercept"] + self.slope(name) * x

    def label(self, name, x):
        points = [point[0] for point in self.series[name]["points"]]
        return "measured range" if min(points) <= x <= max(points) else "extrapolated"

    def choice(self, endpoints, overridden):
        return self.slope("choice_with_overrides" if overridden else "choice_without_overrides") * endpoints


def section_inputs(m):
    out = ["## Inputs", ""]
    for title, source in (("Design size", DESIGN), ("Assumed here", ASSUMED), ("From the code", CODE)):
        out += [f"{title}:", ""] + table(["value", "meaning"], [[number(v), text] for v, text in source.values()])
    return out


NOT_MEASURED = """## Not measured

- Any run with more than 160 connections, 1,600 endpoints or 8 entries at a store; every larger figure is a straight line.
- Endpoint process: `admission_controller`, `endpoint_role` (its maintenance each 20 ms and probes), the engine's adapter.
- Entry: HTTP server and client sockets, TLS, logs, metrics pages, authentication by a scan of 960 accounts, classification.
- Connections between entries; they are taken as equal to those with endpoints. Kernel memory of sockets; TCP headers are computed.
- Copies of the list in `vm_list`, and the watch's own memory for a listing.
- A real store: its latency, the time of a transaction, what it counts as a call, its progress messages, its network.
- Delays, losses and bandwidth between data centres and regions; the restart storm as a whole.
- Map coordinator and map messages in a process; claims through an owner across processes.
- Repeated pushes of one document to one process, and the tree that would avoid them.
- Subsets of connections, differences of the configuration, forwarded VM lists: changes named here are neither built nor tried.
- Slopes come from one machine under other load; processor times vary by run more than the errors of the fit say.
""".splitlines()


def section_summary(m):
    waiting = m.requests / m.nodes * (m.first_token_s + m.tokens / m.requests * m.token_interval_s)
    mesh = m.workers + m.nodes - 1
    subset = m.entries_an_endpoint * m.workers / m.nodes + m.peers_an_entry
    rate = m.changes_a_day / 86400
    payload = m.slope("link_idle_sent") + m.slope("link_idle_received")
    document = m.at("configuration_bytes", m.workers)
    parse = m.at("configuration_parse", m.workers)
    per_link = m.slope("link_resident") + m.slope("directory_memory")
    base = m.series["link_resident"]["intercept"] + 2 * m.slope("configuration_memory")
    requests = (m.slope("pending_memory") + m.slope("thread_resident")) * waiting
    local = m.workers / m.data_centres + m.nodes / m.data_centres - 1

    def row(role, state, messages, core, memory, sent):
        return [role, state, messages, f"{core:.3%} of a core: {verdict(core, m.core_limit)}",
                f"{size(memory)}: {verdict(memory, m.memory_limit)}", f"{size(sent)}/s: {verdict(sent, m.byte_limit)}"]

    choice = m.choice(m.workers, True) * m.requests / m.nodes
    changed_choice = m.choice(subset, True) * m.requests / m.nodes
    rows = [
        row("entry, today", "configuration, directory, requests", "heartbeats, pushes to all, choices at the peak",
            m.slope("link_idle_processor") * mesh + choice + (parse + m.slope("configuration_publish") * mesh) * rate,
            base + per_link * mesh + requests, payload * mesh + document * rate * mesh),
        row("entry, with the changes named below", "the same", "heartbeats each second, differences to its endpoints",
            m.slope("link_idle_processor") * subset / 2 + changed_choice, base + per_link * subset + requests,
            payload * subset / 2 + m.change_bytes * rate * subset),
        row("endpoint process, today", "configuration, running requests", "heartbeats, at least one copy of each document",
            m.slope("link_idle_processor") * m.nodes + parse * rate, base + per_link * m.nodes,
            payload * m.nodes + document * rate),
        row("endpoint process, with the changes", "the same", "heartbeats each second, one difference of each change",
            m.slope("link_idle_processor") * m.entries_an_endpoint / 2, base + per_link * m.entries_an_endpoint,
            payload * m.entries_an_endpoint / 2 + m.change_bytes * rate),
        row("watcher, on top of an entry with the changes", "none of its own", "two watches, a lease, differences to its data centre",
            (parse + m.at("configuration_serialize", m.workers)) * rate, m.slope("configuration_memory"),
            document * 4 / 3 * rate + m.change_bytes * rate * local)]
    out = ["## Summary", "", "Payload bytes in both directions, on average, with an override for each endpoint; sums of measured and "
           "extrapolated parts, so extrapolated. The parts under \"Not measured\" are missing. A row with the changes is an estimate of "
           "what is not built: differences are taken to cost no processor time.", ""]
    out += table(["role", "state", "messages", "processor", "memory", "bytes"], rows)
    out += ["The watcher still reads the whole document from the store; only a store that holds differences lowers that row. The map "
            "coordinator and the store have sections of their own; the coordinator runs in no process yet.", ""]
    return out


def render(report):
    m = Model(report)
    out = ["# Capacity", "",
           "Written by `bench/capacity_page.py` from `bench/capacity_slopes.json` and the constants below; do not edit. "
           "\"Measured range\" is a value on the fitted line between measured points, \"extrapolated\" one beyond them or a sum that has such a part.", ""]
    for section in (section_summary, section_inputs, section_slopes, section_links, section_entry, section_configuration, section_store,
                    section_claims, section_maps, section_evidence, section_storm):
        out += section(m)
    return "\n".join(out + NOT_MEASURED) + "\n"


def main():
    with open(SLOPES, encoding="utf-8") as file:
        page = render(json.load(file))
    if sys.argv[1:] != ["--check"]:
        with open(PAGE, "w", encoding="utf-8") as file:
            file.write(page)
        return 0
    with open(PAGE, encoding="utf-8") as file:
        if file.read() == page:
            return 0
    print(f"{PAGE}: differs from the calculation; run bench/capacity_page.py", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
