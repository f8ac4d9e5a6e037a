"""Sections of docs/CAPACITY.md on the store, map coordinators and failures."""
from capacity_text import number, seconds, size, table, verdict


def section_store(m):
    idle = sum(m.slope(name) for name in ("store_idle_reads", "store_idle_keep_alives", "store_idle_watch_calls"))
    watches = m.slope("store_open_watches")
    watchers = m.watchers_a_data_centre * m.data_centres
    rate = m.changes_a_day / 86400
    rows = []
    for name, count, leases in (("every entry (today)", m.nodes, m.nodes),
                                ("two entries a data centre watch, all keep a lease", watchers, m.nodes),
                                ("two entries a data centre watch and keep a lease", watchers, watchers)):
        calls = (idle - m.slope("store_idle_keep_alives")) * count + m.slope("store_idle_keep_alives") * leases
        total = calls + watches * count + m.slope("change_store_calls") * rate
        rows.append([name, number(watches * count), number(calls), number(total), verdict(total, m.store_reads)])
    document = m.at("configuration_bytes", m.workers)
    out = ["## Store and its watchers", "",
           f"An entry keeps a `configuration_watcher`, a `vm_list` and an `incarnation_lease`; at idle {number(watches)} open watches "
           f"and {number(idle)} calls a second (measured against the stand-in, which sends progress messages often enough; "
           "the intervals of the platform are not known, and without progress messages each watch costs two calls each 3 s). "
           f"A change costs {number(m.slope('change_store_calls'))} calls, of which {number(m.slope('change_store_writes'))} write "
           "(measured with one entry following).", ""]
    out += table(["who watches", "open watches", "calls a second", "with open watches and changes", "against the reads"], rows)
    out += ["Two watchers for each data centre is the design, not the code (which also opens two watches for each, so 108 and not 54): every entry with `store.endpoints` watches. An entry without "
            "them also has no VM list and no claims, since nothing forwards either. The change: forward the VM list and claims "
            f"to the watchers. If renewals of leases count as writes, {number(m.nodes)} entries take "
            f"{number(m.slope('store_idle_keep_alives') * m.nodes)} of {m.store_writes} writes a second.", "",
            f"A change makes the store send {size(document * 4 / 3 * m.nodes)} (today) or {size(document * 4 / 3 * watchers)} "
            "(two watchers a data centre), with base64; its network is not known.", ""]
    return out


def section_claims(m):
    writes = m.slope("claim_store_writes")
    rows = []
    for name, each, source in (("single writes (today: `entry_role` uses no `batching_store`)", writes, "measured"),
                               ("one owner, 4 entries with one request each", 0.82, "docs/design-claims.md"),
                               ("one owner, 32 entries with one request each", 0.125, "docs/design-claims.md"),
                               ("one owner, 4 entries with 16 requests each", 0.06, "docs/design-claims.md")):
        most = m.store_writes / each
        rows.append([name, number(each), source, number(most), f"{most / m.requests:.1%}"])
    out = ["## Claims", "", "The share of keyed requests is not known, so the table gives the share at which claims take all writes:", ""]
    out += table(["way", "writes a claim", "source", "claims a second at most", "of the requests at the peak"], rows)
    out += ["Today's way does not carry a larger share. The change: `batching_store` in each entry, and one owner in each "
            "data centre; its messages are not built.", ""]
    return out


def section_maps(m):
    groups = m.accelerators / m.ranks
    most = groups / m.switch_interval_s
    leases = groups / m.incarnation_s
    out = ["## Map coordinator", "",
           "State: one `coordinator_switch_state` for each group, the load estimate, one record of "
           f"about {number(60 + 9 * m.ranks)} bytes in the store. No daemon starts a coordinator yet, and no frame carries its "
           f"messages; nothing here was measured. By reading the protocol: {5 * m.ranks} messages for a switch of {m.ranks} "
           f"ranks (stage, staged, promise request, promise, go) and {m.switch_writes} writes and a read.", ""]
    budget = m.store_writes / 10 / m.switch_writes
    out += table(["what", "store calls a second", "against the writes"], [
        [f"{number(groups)} groups, each switching as often as the decider allows (each {m.switch_interval_s} s)",
         f"{number(most * m.switch_writes)} writes", verdict(most * m.switch_writes, m.store_writes)],
        [f"a tenth of the writes ({number(m.store_writes / 10)}) carries", f"{number(budget)} switches: one each {number(groups / budget)} s for each group", ""],
        ["one coordinator lease of 10 s for each group, were it built", f"{number(leases)} renewals", verdict(leases, m.store_writes)],
        ["ranks that join on the day of failures, average", f"{number((m.failed_vms + m.replaced_vms) * m.accelerators / m.workers / 86400)} writes", "holds"],
        ["ranks of a data centre that join after its return", f"{number(m.accelerators / m.data_centres)} writes in all",
         f"{number(m.accelerators / m.data_centres / m.store_writes)} s of all writes"]])
    out += ["One lease for each coordinating process, that covers all its groups, replaces one for each group. The limit of loads an hour "
            "keeps switches far below the first row; its value is an operator's setting.", ""]
    return out


def section_evidence(m):
    peers = m.nodes - 1
    repeat_s = 5
    crash_bytes, part_bytes, id_bytes, parts = 300, 40, 64, 384
    answered, answered_bytes = 16384, 120
    return ["## Evidence on crashes", "",
            f"Not measured; from the bounds of the code. A load report carries at most {parts} parts ({size(parts * (id_bytes + 4))} of the longest ids), "
            f"three times after a change and every {repeat_s} s while there is evidence, to each other gateway. What a node receives with {m.nodes} gateways:", ""] + table(
                ["known", "bytes a second", "against the limit"], [
                    ["one crash that nothing explains, with 10 suspects", size(peers * crash_bytes / repeat_s), verdict(peers * crash_bytes / repeat_s, m.byte_limit)],
                    ["one convicted part", size(peers * part_bytes / repeat_s), verdict(peers * part_bytes / repeat_s, m.byte_limit)]]) + [
                        "The change for the row that misses: repeat to a few random peers instead of all. "
                        f"Memory of answered parts: {size(answered * answered_bytes)} at most. Store: one call a gateway at its start, and one a gateway and conviction.", ""]


def section_storm(m):
    per_dc_workers = m.workers / m.data_centres
    per_dc_nodes = m.nodes / m.data_centres
    document = m.at("configuration_bytes", m.workers)
    parse = m.at("configuration_parse", m.workers)
    mesh = per_dc_nodes * (m.workers - per_dc_workers) + (m.nodes - per_dc_nodes) * per_dc_workers
    missed = m.changes_a_day * m.cut_s / 86400
    mesh_dials = (m.workers - per_dc_workers) / (m.redial_s + m.connect_s)
    remote_dials = m.remote_links / (m.redial_s + m.connect_s)
    region = m.data_centres / m.regions
    core = m.slope("configuration_publish")
    out = ["## Day of failures", "",
           f"A data centre ({number(per_dc_nodes)} nodes, {number(per_dc_workers)} workers) is cut off for an hour, {number(missed)} changes are "
           "made meanwhile, and the cut ends. All extrapolated, by the rules of the code:", ""]
    out += table(["what", "full mesh (today)", "own data centre and remote ones"], [
        ["connections made again", number(mesh), number(per_dc_nodes * m.remote_links * 2)],
        ["attempts to connect a second of an entry inside, during the cut (dropped packets)", number(mesh_dials), number(remote_dials)],
        ["documents pushed to processes behind, at most", f"{number(mesh)} ({size(mesh * document)})",
         f"{number(per_dc_nodes * (per_dc_workers + m.remote_links))} ({size(per_dc_nodes * (per_dc_workers + m.remote_links) * document)})"],
        ["processor time of an entry that pushes to its share", seconds(core * per_dc_workers), seconds(core * per_dc_workers)],
        ["processor time of an endpoint process that reads them all", seconds(parse * (m.nodes - per_dc_nodes)), seconds(parse * per_dc_nodes)],
        ["store calls of its entries", number(m.start_calls * per_dc_nodes), number(m.start_calls * per_dc_nodes)]])
    start = m.start_calls * m.nodes
    spread = start / m.watch_retry_s
    waiting = m.slope("store_open_watches") * m.nodes
    start_writes = 2 * m.nodes / m.watch_retry_s
    out += [f"After an outage of the store all {m.nodes} entries return within {m.watch_retry_s} s: {number(start)} calls, {number(spread)} a second, "
            f"and {number(waiting)} open watches, each of which counts as one: {verdict(spread + waiting, m.store_reads)}. Two of the calls write (grant, key): "
            f"{number(start_writes)} a second: {verdict(start_writes, m.store_writes)}. The change: two watchers a data centre, and a jittered "
            "start over 10 s. The answer to a listing of the VMs, about 250 bytes each with base64, is "
            f"{size(250 * (m.workers + m.nodes))} for each entry, {size(250 * (m.workers + m.nodes) * m.nodes)} in all.", "",
            f"A region has {number(region)} data centres on average; a cut of a region multiplies the rows above by that. `nng_dialer` "
            "spreads attempts by jitter, `send queue` limits (64 MiB) close a connection rather than buffer without end. The change that "
            "carries it is the same as above: subsets, differences, and one push for each process (a process asks one peer for what it lacks).", "",
            f"{m.failed_vms} failed and {m.replaced_vms} replaced VMs are one event of the fleet each "
            f"{number(86400 / (m.failed_vms + m.replaced_vms))} s; every entry makes one connection again for each in the full mesh, and in "
            f"its data centre only one in {m.data_centres}. A rack or switch ({m.rack_vms} VMs, assumed) is {m.rack_vms} such events at once.", ""]
    return out
