"""Sections of docs/CAPACITY.md on single processes."""
from capacity_text import number, seconds, size, table, verdict


def section_slopes(m):
    report = m.report
    out = ["## Slopes", "", f"Command: `{report['command']}`. Machine: {report['machine']}, "
           f"{report['processors']} processors, load average `{report['load_before']}` before and "
           f"`{report['load_after']}` after the run. Every row is a least-squares line through the points; the error "
           "is the standard error of the slope. Processor times come from CLOCK_PROCESS_CPUTIME_ID in one process. "
           "Links, configuration, directory and requests ran one after another.", ""]
    rows = []
    for name, each in sorted(m.series.items()):
        points = ", ".join(f"({number(x)}, {number(y)})" for x, y in each["points"])
        share = abs(each["slope_standard_error"] / each["slope"]) if each["slope"] else 0
        rows.append([name, f"{each['slope']:.4g} {each['unit']} per {each['variable']}",
                     f"{each['slope_standard_error']:.2g} ({share:.1%})", f"{each['intercept']:.3g}", points])
    out += table(["series", "slope", "error", "intercept", "points"], rows)
    out += [f"A heartbeat takes {number(report['heartbeat_bytes'])} bytes, with a status "
            f"{number(report['heartbeat_with_status_bytes'])} bytes (measured, frame with length).", ""]
    return out


def section_links(m):
    per_dc_workers = m.workers / m.data_centres
    per_dc_nodes = m.nodes / m.data_centres
    subset = m.entries_an_endpoint * m.workers / m.nodes
    payload = m.slope("link_idle_sent") + m.slope("link_idle_received")
    headers = 2 / m.heartbeat_s * m.segment_bytes
    ways = [("entry, full mesh (today)", m.workers + m.nodes - 1),
            ("entry, own data centre and remote ones", per_dc_workers + per_dc_nodes - 1 + m.remote_links),
            ("entry, a subset of its data centre", subset + m.peers_an_entry),
            ("the same with a heartbeat each second", (subset + m.peers_an_entry) / 2),
            ("endpoint process, full mesh (today)", m.nodes),
            ("endpoint process, own data centre and remote ones",
             per_dc_nodes + m.remote_links * m.nodes / m.workers),
            ("endpoint process, subsets", m.entries_an_endpoint)]
    rows = []
    for name, count in ways:
        core = m.slope("link_idle_processor") * count
        memory = (m.slope("link_resident") + m.slope("directory_memory")) * count
        rows.append([name, number(count), m.label("link_idle_processor", count), f"{core:.2%} of a core: {verdict(core, m.core_limit)}",
                     f"{size(payload * count)}/s: {verdict(payload * count, m.byte_limit)}",
                     f"{size((payload + headers) * count)}/s: {verdict((payload + headers) * count, m.byte_limit)}",
                     f"{size(memory)}: {verdict(memory, m.memory_limit)}"])
    out = ["## Connections", "",
           "`link_hub` sends a heartbeat each 500 ms on every connection; `endpoint_directory` keeps the status. Bytes "
           f"are both directions. Payload is {payload:.3g} B/s a connection (measured); headers add up to "
           f"{number(headers)} B/s (computed: a segment and its own acknowledgement for each heartbeat). A connection of an "
           "endpoint process costs the same bytes; its processor time is taken as that of the entry's side, which was "
           "the side measured.", ""]
    out += table(["process", "connections", "label", "processor", "payload", "with headers", "memory"], rows)
    out += ["The row with a heartbeat each second counts each connection as half; its memory is that of the row above it.", ""]
    out += [f"Full mesh: {number(m.nodes * m.workers)} connections between entries and endpoints in all. "
            f"Within {size(m.byte_limit)}/s fit {number(m.byte_limit / payload)} connections by payload and "
            f"{number(m.byte_limit / (payload + headers))} with headers.", "",
            "Today's mechanism does not carry the design size: `entry_role::onVmList` dials every endpoint of the "
            "list. Connections only within the data centre carry processor time and memory where the table says so, "
            "but not the bytes. The change: each endpoint of a data centre is assigned to "
            f"{m.entries_an_endpoint} entries (rendezvous hashing by model), so that an entry has {number(subset)} endpoints and "
            f"{m.peers_an_entry} peers; heartbeats go out each second, which still closes a silent connection after 2 s but tolerates one late heartbeat instead of three; the constant part of the status "
            "(data centre, labels, models, engine start id) goes out only when it changes. The price: an entry sees about "
            f"{number(subset / m.models)} endpoints of a model, which balances worse, and an endpoint whose entries all die has to be "
            "assigned anew. Neither is built or tried.", ""]
    return out


def section_entry(m):
    rate = m.requests / m.nodes
    duration = m.first_token_s + m.tokens / m.requests * m.token_interval_s
    waiting = rate * duration
    local = m.workers / m.data_centres
    rows = []
    for name, endpoints, overridden in (("all endpoints, no overrides", m.workers, False),
                                       ("all endpoints, an override each", m.workers, True),
                                       ("own data centre, no overrides", local, False),
                                       ("own data centre, an override each", local, True)):
        each = m.choice(endpoints, overridden)
        rows.append([name, seconds(each), f"{each * rate:.2%} of a core", verdict(each * rate, m.core_limit)])
    out = ["## Entry", "",
           f"State: configuration, endpoint directory, requests under way. Messages: `submit` and answer frames for its "
           f"requests, heartbeats, `config_push`. At the peak an entry takes {number(rate)} requests a second; at the slowest "
           f"allowed pace ({number(m.tokens / m.requests)} tokens, {number(duration)} s) it has {number(waiting)} under way.", "",
           "Choice of an endpoint (`endpoint_directory::choose`, which checks each endpoint for each request and finds its "
           "override by `override_index`; extrapolated beyond 1,600 endpoints):", ""]
    out += table(["endpoints seen", "one choice", "at the peak", "against the limit"], rows)
    out += ["The change for a row that misses: compute the eligible endpoints of a class when the configuration or a status "
            "changes, not for each request.", ""]
    pending = m.slope("pending_memory") * waiting
    threads = m.slope("thread_resident") * waiting
    frames = m.tokens / m.nodes
    relay = m.slope("relay_time") * frames
    out += [f"Requests under way: {size(pending)} in the table (without the body, which the dispatcher keeps) "
            f"and {size(threads)} resident in {number(waiting)} waiting threads, since the HTTP server has a thread for each "
            f"connection ({m.label('thread_resident', waiting)}). Opening and closing a request takes "
            f"{seconds(m.slope('pending_time'))} in the table. {number(frames)} data frames a second, one for each token, take "
            f"{relay:.2%} of a core in `pending_request` alone (no socket, no HTTP). These are data, not control.", ""]
    events = (m.failed_vms + m.replaced_vms) * m.events_per_replacement
    per_change = (m.slope("vm_list_change") + m.slope("dial_known")) * m.workers
    vms = m.workers + m.nodes
    out += [f"VM list: each event makes `onVmList` hand over the whole list and dial every known name, which `link_hub::dial` "
            f"finds in a map: {seconds(per_change)} for one event with {number(m.workers)} endpoints (extrapolated). "
            f"{number(events)} events on the day of failures are {events * per_change / 86400:.3%} of a core on average: "
            f"{verdict(events * per_change / 86400, m.core_limit)}. "
            f"`vm_list` hands over the first listing of {number(vms)} VMs as one list, so that a start costs one event (the reading of "
            "the listing comes on top).", ""]
    return out


def section_configuration(m):
    document = m.at("configuration_bytes", m.workers)
    small = m.at("configuration_bytes", 50)
    parse = m.at("configuration_parse", m.workers)
    serialize = m.slope("configuration_publish")
    apply = max(m.at("configuration_apply", m.workers), 0)
    rate = m.changes_a_day / 86400
    local = m.workers / m.data_centres
    peers = local + m.nodes / m.data_centres - 1
    out = ["## Configuration", "",
           f"Document with {m.accounts} accounts: {size(small)} with 50 overrides, {size(document)} with one for each endpoint "
           f"(measured range). Against {size(m.store_limit_bytes)} a value: {verdict(document, m.store_limit_bytes)}; against a frame: "
           f"{verdict(document, m.frame_limit_bytes)}. In memory: {size(m.slope('configuration_memory'))}. One process reads it in "
           f"{seconds(parse)}, applies it in {seconds(apply)}, and `configuration_exchange::publish` takes {seconds(serialize)} for each "
           "peer, because it serialises for each peer.", ""]
    rows = []
    for name, count in (("one copy received", 1), ("watcher entry, sends to its data centre", peers),
                        ("entry, full mesh (today)", m.workers + m.nodes - 1)):
        sent = count * document * rate
        core = (parse + apply + (serialize * count if count > 1 else 0)) * rate
        rows.append([name, f"{size(sent)}/s: {verdict(sent, m.byte_limit)}", f"{core:.3%} of a core: {verdict(core, m.core_limit)}"])
    out += [f"At {number(m.changes_a_day)} changes a day, on average, with an override for each endpoint:", ""]
    out += table(["process", "bytes", "processor"], rows)
    difference = m.change_bytes * rate
    out += [f"Whole documents do not fit: one copy of each revision on each node is {number(document * rate / m.byte_limit)} times the "
            f"byte limit, and with only 50 overrides {number(small * rate / m.byte_limit)} times. Also each entry pushes to each peer that it believes to be "
            "behind, so that a process can get a document more than once (not counted). The change: `config_push` carries "
            f"the difference from the peer's revision with a digest of the result ({size(difference)}/s for one copy and "
            f"{size(difference * peers)}/s for a watcher that sends to its data centre, at {m.change_bytes} bytes), the whole only to a peer too far "
            "behind, and the text is made once for all peers. A tree within the data centre divides what the watcher sends.", "",
            f"History: a revision is stored whole and never deleted: {size(document * m.changes_a_day)} a day. The change: store differences "
            "with a whole document at intervals, and a bound on the history.", ""]
    watch = m.slope("change_store_to_watcher")
    transfer = document / m.link_bytes
    hop = parse + apply + serialize * peers + transfer * peers
    last = parse + apply
    good = watch + m.distance_s + hop + m.distance_s + hop + last
    silent = m.watch_silence_s + m.watch_retry_s + m.silence_s + m.redial_s + m.connect_s
    mesh_hop = parse + apply + (serialize + transfer) * (m.workers + m.nodes - 1)
    out += ["Time until a change is in force everywhere (one whole core for each process; a process held to 1.5% of a "
            "core would take 67 times the processor part):", ""]
    out += table(["step", "time", "label"], [
        ["store accepts, watch reports, watcher applies (50 overrides, loopback)", seconds(watch), "measured"],
        ["distance", seconds(m.distance_s), "assumed, twice"],
        [f"read, apply, send to {number(peers)} peers", seconds(hop), "extrapolated, twice: watcher, then entry"],
        ["endpoint reads and applies", seconds(last), "measured range"],
        ["sum with nothing failing, watchers of each data centre", f"{seconds(good)}: {verdict(good, m.in_force_s)}", "extrapolated"],
        ["and with a silent watch and a silent connection on the path", f"{seconds(good + silent)}: {verdict(good + silent, m.in_force_s)}", "extrapolated"],
        ["full mesh (today): every entry watches and sends to all", f"{seconds(watch + m.distance_s + mesh_hop + last)}: "
         + verdict(watch + m.distance_s + mesh_hop + last, m.in_force_s), "extrapolated"]])
    return out
