#include "soak/soak_run.h"

#include "standins/site_document.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace bronzechute::soak {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using namespace standins;

constexpr milliseconds warmUp {2500}; ///< Endpoints are cold for two seconds after their start.
constexpr milliseconds recovery {6000}; ///< Cold endpoints, lapsed entries and avoided endpoints are over then.
constexpr milliseconds calm {5000};
constexpr int calmChanges = 3;
constexpr milliseconds discovery {3500}; ///< A gateway that has started knows the others by then.
constexpr milliseconds coldTime {1500};
constexpr milliseconds drainTimeout {4000}; ///< As in the settings of the site's gateways.
constexpr int ranks = 4;
constexpr const char *store = "store";
constexpr const char *group = "models";

const std::vector<std::string> coldFlags {"--cold_ms", "2000", "--cold_per_second", "60"};

std::string dataCentre(std::size_t index)
{
    return index % 2 == 0 ? "here" : "there";
}

/** @returns the faults of a link in one direction or both, by variant; they end with endOfLinkFault(). */
json linkFault(int variant)
{
    switch (variant) {
    case 0:
        return {{"pause_up", true}};
    case 1:
        return {{"pause_down", true}};
    case 2:
        return {{"silence_open", true}, {"silence_new", true}};
    default:
        return {{"refuse_new", true}, {"cut_open", true}};
    }
}

json endOfLinkFault(int variant)
{
    switch (variant) {
    case 0:
        return {{"pause_up", false}};
    case 1:
        return {{"pause_down", false}};
    case 2:
        return {{"silence_new", false}};
    default:
        return {{"refuse_new", false}};
    }
}

/** @returns whether an endpoint reads late, or not at all, what was sent to it before. */
bool disturbsEndpoint(fault kind)
{
    return kind == fault::freeze_endpoint || kind == fault::drain_endpoint || kind == fault::cut_endpoint_link
        || kind == fault::delay_endpoint_link;
}

/** @returns what an endpoint says in each answer although it is not so. */
json lieOf(int variant)
{
    constexpr int hour = 3600;
    return {{"say_leaving", variant != 0}, {"claim_pause_s", variant < 2 ? hour : 0}};
}

bool disturbsProcess(fault kind)
{
    return kind == fault::kill_gateway || kind == fault::stop_gateway || kind == fault::freeze_gateway;
}

json answerFault(int variant, double share)
{
    static const std::array<const char *, 4> names {"lose_answers", "cut_answers", "garble", "fail"};
    return {{names.at(static_cast<std::size_t>(variant)), share}};
}

} // namespace

soak_run::soak_run(soak_plan plan) : m_plan(std::move(plan))
{
}

std::string soak_run::gatewayOf(const planned_fault &fault) const
{
    return "gateway-" + std::to_string(fault.target % m_plan.gateways);
}

std::string soak_run::endpointOf(const planned_fault &fault) const
{
    return "office-" + std::to_string(fault.target % m_plan.endpoints);
}

std::vector<std::string> soak_run::endpoints() const
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < m_plan.endpoints; ++index) {
        names.push_back("office-" + std::to_string(index));
    }
    return names;
}

void soak_run::startSite()
{
    m_site.startStore();
    m_site.put("op/config", siteDocument(m_version));
    for (std::size_t index = 0; index < m_plan.endpoints; ++index) {
        m_site.startEndpoint("office-" + std::to_string(index), site_names::plainService, dataCentre(index), coldFlags);
    }
    m_site.startGroup(group, site_names::modelService, ranks);
    std::map<std::string, std::string> urls;
    for (std::size_t index = 0; index < m_plan.gateways; ++index) {
        const std::string name = "gateway-" + std::to_string(index);
        m_site.startGateway(name, dataCentre(index));
        urls[name] = m_site.url(name);
    }
    for (const auto &[name, url] : urls) {
        if (!m_site.waitReady(name)) {
            throw std::runtime_error(name + " does not become ready");
        }
    }
    m_view = std::make_unique<site_view>(urls);
    m_view->setNewest(m_version);
}

soak_evidence soak_run::play()
{
    startSite();
    std::this_thread::sleep_for(warmUp);
    m_callers = std::make_unique<soak_callers>(*m_view, m_plan.seed);
    playFaults();
    heal();
    std::this_thread::sleep_for(recovery);
    playCalm();
    checkAlive();
    m_callers->stop(m_evidence);
    collectEndpoints();
    return m_evidence;
}

void soak_run::playCalm()
{
    // Nothing excuses a gateway now: versions have to be in force in time, and an endpoint that leaves gets nothing.
    m_evidence.calmFrom = boot_clock::now();
    m_site.process("office-0").signal(SIGTERM);
    for (int change = 0; change < calmChanges; ++change) {
        changeConfiguration();
        std::this_thread::sleep_for(calm / calmChanges);
    }
    stopInCalm("gateway-0");
    // An endpoint that starts is cold: a burst must not exceed its rate.
    m_site.restartEndpoint("office-0");
    m_callers->setBurst(true);
    std::this_thread::sleep_for(coldTime);
    m_callers->setBurst(false);
}

void soak_run::stopInCalm(const std::string &gateway)
{
    const time_point from = boot_clock::now();
    ++m_down[gateway];
    m_stoppedAt[gateway] = from;
    m_site.process(gateway).signal(SIGTERM);
    waitForStop(gateway);
    --m_down[gateway];
    restartGateway(gateway);
    if (!m_site.waitReady(gateway)) {
        m_evidence.findings.push_back(gateway + " does not become ready after a planned stop");
    }
    // Until it knows the others, a gateway sends little to warm endpoints and nothing to cold ones.
    std::this_thread::sleep_for(discovery);
    m_evidence.plannedStops.push_back({gateway, from, boot_clock::now()});
}

void soak_run::playFaults()
{
    struct step
    {
        const planned_fault *fault;
        bool begins;
    };
    std::multimap<milliseconds, step> steps;
    for (const planned_fault &each : m_plan.faults) {
        steps.emplace(each.at, step {&each, true});
        steps.emplace(each.at + each.duration, step {&each, false});
    }
    const time_point start = boot_clock::now();
    for (const auto &[at, next] : steps) {
        std::this_thread::sleep_until(std::chrono::steady_clock::now() + (start + at - boot_clock::now()));
        checkAlive();
        operatePending();
        if (next.begins) {
            begin(*next.fault);
        } else {
            end(*next.fault);
        }
    }
}

void soak_run::begin(const planned_fault &next)
{
    using enum fault;
    switch (next.kind) {
    case kill_gateway:
    case stop_gateway:
    case freeze_gateway:
    case reload_gateway:
    case cut_store_link:
        beginAtGateway(next, gatewayOf(next));
        break;
    case store_outage:
    case store_slow:
    case store_lost_answers:
    case store_drops_history:
    case store_returns_from_copy:
        beginAtStore(next);
        break;
    case break_group:
        m_site.inject(group, {{"break_group_ms", next.duration.count()}});
        break;
    case change_configuration:
        changeConfiguration();
        break;
    case late_orders:
        m_site.inject(group, {{"late_orders", 0.4}});
        break;
    case burst:
        m_callers->setBurst(true);
        break;
    case evacuate:
        setEvacuated(dataCentre(next.target), true);
        break;
    case unreadable_entry:
        operate([this, value = next.variant % 2 == 0 ? "\xff not json" : R"({"service": 1})"] {
            m_site.put("servers/unreadable", value);
        });
        break;
    default:
        beginAtEndpoint(next, endpointOf(next));
        break;
    }
}

void soak_run::end(const planned_fault &past)
{
    using enum fault;
    switch (past.kind) {
    case kill_gateway:
    case stop_gateway:
    case freeze_gateway:
    case reload_gateway:
    case cut_store_link:
        endAtGateway(past, gatewayOf(past));
        break;
    case store_outage:
        m_site.inject(store, {{"outage", false}, {"outage_closes", false}});
        disturb(store, {});
        break;
    case store_slow:
        m_site.inject(store, {{"delay_ms", 0}});
        disturb(store, {});
        break;
    case store_lost_answers:
    case store_drops_history:
        disturb(store, {});
        break;
    case store_returns_from_copy:
        returnFromCopy();
        disturb(store, {});
        break;
    case break_group:
    case change_configuration:
        break;
    case late_orders:
        m_site.inject(group, {{"late_orders", 0}});
        break;
    case burst:
        m_callers->setBurst(false);
        break;
    case evacuate:
        setEvacuated(dataCentre(past.target), false);
        break;
    case unreadable_entry:
        operate([this] { m_site.remove("servers/unreadable"); });
        break;
    default:
        endAtEndpoint(past, endpointOf(past));
        break;
    }
}

void soak_run::beginAtGateway(const planned_fault &next, const std::string &gateway)
{
    disturb(gateway, boot_clock::now());
    if (disturbsProcess(next.kind)) {
        disturb(processOf(gateway), boot_clock::now());
    }
    switch (next.kind) {
    case fault::kill_gateway:
        ++m_down[gateway];
        m_view->nextIncarnation(gateway);
        m_site.process(gateway).kill();
        break;
    case fault::stop_gateway:
        ++m_down[gateway];
        if (m_frozen[gateway] == 0) {
            m_stoppedAt[gateway] = boot_clock::now();
        }
        m_site.process(gateway).signal(SIGTERM);
        break;
    case fault::freeze_gateway:
        m_stoppedAt.erase(gateway); // Its time to stop is not bounded any more.
        ++m_frozen[gateway];
        m_site.process(gateway).freeze();
        break;
    case fault::reload_gateway:
        m_site.changeSettings(gateway, next.variant % 2 == 0 ? "log: {level: debug}\n" : "");
        if (next.variant / 2 == 0) {
            m_site.process(gateway).signal(SIGHUP);
        }
        break;
    default:
        m_site.inject(gateway + ".store", linkFault(next.variant));
        break;
    }
}

void soak_run::endAtGateway(const planned_fault &past, const std::string &gateway)
{
    switch (past.kind) {
    case fault::stop_gateway:
        waitForStop(gateway);
        [[fallthrough]];
    case fault::kill_gateway:
        if (--m_down[gateway] == 0) {
            restartGateway(gateway);
        }
        break;
    case fault::freeze_gateway:
        --m_frozen[gateway];
        m_site.process(gateway).thaw();
        break;
    case fault::cut_store_link:
        m_site.inject(gateway + ".store", endOfLinkFault(past.variant));
        break;
    default:
        break;
    }
    if (disturbsProcess(past.kind)) {
        disturb(processOf(gateway), {});
    }
    disturb(gateway, {});
}

void soak_run::restartGateway(const std::string &gateway)
{
    m_view->nextIncarnation(gateway);
    m_site.restartGateway(gateway);
    m_view->nextIncarnation(gateway);
}

void soak_run::waitForStop(const std::string &gateway)
{
    const auto stopped = m_stoppedAt.find(gateway);
    if (stopped == m_stoppedAt.end()) {
        return;
    }
    const auto left = std::chrono::ceil<milliseconds>(stopped->second + drainTimeout - boot_clock::now());
    const auto status = m_site.process(gateway).waitForExit(std::max(left, milliseconds(0)));
    m_stoppedAt.erase(stopped);
    constexpr int killed = 128 + SIGKILL; // By an overlapping fault.
    if (!status) {
        m_evidence.findings.push_back(gateway + " has not ended within its drain timeout");
    } else if (*status != 0 && *status != 1 && *status != killed) {
        m_evidence.findings.push_back(gateway + " ended with status " + std::to_string(*status));
    }
}

void soak_run::beginAtStore(const planned_fault &next)
{
    disturb(store, boot_clock::now());
    switch (next.kind) {
    case fault::store_outage:
        m_site.inject(store, {{"outage", true}, {"outage_closes", next.variant % 2 == 0}});
        break;
    case fault::store_slow:
        m_site.inject(store, {{"delay_ms", 800}});
        break;
    case fault::store_lost_answers:
        m_site.inject(store, {{"lose_answers", 3}});
        break;
    case fault::store_returns_from_copy:
        m_site.inject(store, {{"copy", true}});
        break;
    default:
        m_site.inject(store, {{"drop_history", true}, {"cut_watches", next.variant % 2 == 0}});
        break;
    }
}

void soak_run::beginAtEndpoint(const planned_fault &next, const std::string &endpoint)
{
    if (disturbsEndpoint(next.kind)) {
        disturb(endpoint, boot_clock::now());
    }
    switch (next.kind) {
    case fault::kill_endpoint:
        m_site.process(endpoint).kill();
        break;
    case fault::freeze_endpoint:
        m_site.process(endpoint).freeze();
        break;
    case fault::drain_endpoint:
        m_site.process(endpoint).signal(SIGTERM);
        break;
    case fault::cut_endpoint_link:
        m_site.inject(endpoint + ".link", linkFault(next.variant));
        break;
    case fault::delay_endpoint_link:
        m_site.inject(endpoint + ".link", {{"delay_ms", 150}});
        break;
    case fault::endpoint_pauses:
        m_site.inject(next.target % 4 == 0 ? group : endpoint, {{"pause_ms", next.duration.count()}});
        break;
    case fault::endpoint_lies:
        m_site.inject(endpoint, lieOf(next.variant));
        break;
    default:
        m_site.inject(next.target % 2 == 0 ? endpoint : group, answerFault(next.variant, 0.3));
        break;
    }
}

void soak_run::endAtEndpoint(const planned_fault &past, const std::string &endpoint)
{
    switch (past.kind) {
    case fault::kill_endpoint:
    case fault::drain_endpoint:
    case fault::endpoint_lies:
        m_site.restartEndpoint(endpoint);
        break;
    case fault::endpoint_pauses:
        break;
    case fault::freeze_endpoint:
        m_site.process(endpoint).thaw();
        break;
    case fault::cut_endpoint_link:
        m_site.inject(endpoint + ".link", endOfLinkFault(past.variant));
        break;
    case fault::delay_endpoint_link:
        m_site.inject(endpoint + ".link", {{"delay_ms", 0}});
        break;
    default:
        m_site.inject(past.target % 2 == 0 ? endpoint : group, answerFault(past.variant, 0));
        break;
    }
    if (disturbsEndpoint(past.kind)) {
        disturb(endpoint, {});
    }
}

void soak_run::changeConfiguration()
{
    m_view->setNewest(++m_version);
    operate([this, version = m_version] {
        m_site.put("op/config", siteDocument(version));
        m_evidence.acknowledged[version] = boot_clock::now();
    });
}

void soak_run::setEvacuated(const std::string &name, bool evacuated)
{
    m_evacuated[name] = evacuated;
    operate([this, name, evacuated] {
        const std::string key = "op/evacuate/" + name;
        if (evacuated) {
            m_site.put(key, "{}");
        } else {
            m_site.remove(key);
        }
    });
}

void soak_run::returnFromCopy()
{
    m_site.inject(store, {{"return_from_copy", true}, {"cut_watches", true}});
    // The operator writes again what it had written.
    operate([this, version = m_version] { m_site.put("op/config", siteDocument(version)); });
    for (const auto &[name, evacuated] : std::map(m_evacuated)) {
        setEvacuated(name, evacuated);
    }
}

void soak_run::operate(std::function<void()> operation)
{
    m_pending.push_back(std::move(operation));
    operatePending();
}

void soak_run::operatePending()
{
    try {
        while (!m_pending.empty()) {
            m_pending.front()();
            m_pending.pop_front();
        }
    } catch (const std::runtime_error &) {
        // The store is away: the operator tries again with the next step.
    }
}

void soak_run::disturb(const std::string &part, time_point from)
{
    if (from != time_point {}) {
        m_begun.try_emplace(part, from);
        ++m_lasting[part];
    } else if (--m_lasting[part] == 0) {
        m_evidence.disturbances.push_back({part, m_begun.at(part), boot_clock::now()});
        m_begun.erase(part);
    }
}

void soak_run::checkAlive()
{
    for (const auto &[gateway, url] : m_view->gateways()) {
        const auto status = m_site.process(gateway).waitForExit(milliseconds(0));
        if (status && m_down[gateway] == 0) {
            m_evidence.findings.push_back(gateway + " ended by itself with status " + std::to_string(*status));
            restartGateway(gateway);
        }
    }
}

void soak_run::heal()
{
    while (!m_pending.empty()) {
        operatePending();
    }
    changeConfiguration(); // Silent connections to the store have to be found for it.
}

void soak_run::collectOutput(const std::string &process)
{
    std::istringstream lines(m_site.output(process));
    int number = 0; // Of the process among those that bear the name.
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string kind;
        std::int64_t at = 0;
        words >> kind;
        if (kind == "ready") {
            ++number;
        } else if (kind == "run") {
            run_record &run = m_evidence.runs.emplace_back();
            words >> run.id >> run.account;
        } else if (kind == "violation") {
            endpoint_violation &violation = m_evidence.violations.emplace_back();
            words >> at >> violation.kind >> violation.detail;
            violation.endpoint = process;
            violation.at = time_point(milliseconds(at));
        } else if (kind == "stated") {
            endpoint_saying &saying = m_evidence.sayings.emplace_back();
            std::int64_t pause = 0;
            words >> at >> saying.endpoint >> saying.id >> kind >> pause;
            saying.at = time_point(milliseconds(at));
            saying.run = number;
            saying.pause = kind == "pause" ? std::optional(milliseconds(pause)) : std::nullopt;
        } else if (kind == "arrival") {
            endpoint_arrival &arrival = m_evidence.arrivals.emplace_back();
            words >> at >> arrival.endpoint >> arrival.id;
            arrival.at = time_point(milliseconds(at));
            arrival.run = number;
        }
    }
}

void soak_run::collectEndpoints()
{
    for (const std::string &name : endpoints()) {
        collectOutput(name);
    }
    collectOutput(group);
    const auto stats = m_site.stats(group);
    m_evidence.mapSwitches = stats.value("switches", 0);
    if (stats.value("mixed_passes", 1) != 0) {
        m_evidence.violations.push_back({boot_clock::now(), group, "maps", stats.dump()});
    }
}

void soak_run::saveLogs(const std::string &directory)
{
    std::filesystem::create_directories(directory);
    std::vector<std::string> names = endpoints();
    names.emplace_back(group);
    for (const auto &[gateway, url] : m_view->gateways()) {
        names.push_back(gateway);
    }
    for (const std::string &name : names) {
        std::ofstream(std::filesystem::path(directory) / (name + ".log")) << m_site.output(name);
    }
}

} // namespace bronzechute::soak
