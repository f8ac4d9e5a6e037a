#include "entry/endpoint_directory.h"

#include "policy/load_aware_chooser.h"
#include "policy/name_hash.h"
#include "policy/retry_after_estimate.h"

#include <algorithm>
#include <mutex>

namespace bronzechute {

namespace {

std::unique_ptr<endpoint_chooser> makeChooser(const daemon_settings &settings)
{
    load_aware_settings chooserSettings;
    chooserSettings.entries = static_cast<int>(settings.peers.size()) + 1;
    return std::make_unique<load_aware_chooser>(chooserSettings);
}

} // namespace

endpoint_directory::endpoint_directory(const daemon_settings &settings, const configuration_holder &configuration)
    : m_settings(settings)
    , m_configuration(configuration)
    , m_chooser(makeChooser(settings))
    , m_random(std::random_device {}())
{
    std::vector<listed_vm> listed;
    for (const peer_settings &each : settings.endpoints) {
        listed.push_back({each.name, each.address.toString(), false});
    }
    m_members.setStaticList(boot_clock::now(), listed);
}

std::vector<listed_vm> endpoint_directory::known() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<listed_vm> endpoints;
    for (const member *each : m_members.known()) {
        endpoints.push_back({each->name, each->address, each->leaving});
    }
    return endpoints;
}

std::vector<std::string> endpoint_directory::onVmList(std::span<const listed_vm> vms, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    m_members.onVmList(now, vms);
    std::vector<std::string> forgotten = m_members.forgetOld(now);
    for (const std::string &name : forgotten) {
        m_views.erase(name);
        m_breaker.forget(name);
    }
    return forgotten;
}

void endpoint_directory::onUp(const link_ptr &connection)
{
    const std::string &node = connection->peer().node;
    warm_pace remembered;
    {
        const std::scoped_lock lock(m_mutex);
        if (const member *known = m_members.find(node); known != nullptr) {
            remembered = known->warmPace;
        }
    }
    // Sent before the connection can be selected: a submit that overtakes this frame would be measured as part of the
    // cold start without a reference value.
    if (remembered != warm_pace {}) {
        connection->send(warm_pace_frame {remembered.tokenSeconds, remembered.callSeconds});
    }
    const std::scoped_lock lock(m_mutex);
    local_view &view = m_views[node];
    view.connection = connection;
    view.nameHash = hashName(node);
}

void endpoint_directory::onHeartbeat(const link_ptr &connection, const endpoint_status &status, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    const hello_frame &peer = connection->peer();
    m_members.onHeartbeat(now, peer.node, connection->address(), peer.incarnation, status);
    local_view &view = m_views[peer.node];
    view.inFlightAtStatus = view.inFlight;
}

void endpoint_directory::onDown(const link_ptr &connection)
{
    const std::scoped_lock lock(m_mutex);
    const auto position = m_views.find(connection->peer().node);
    if (position != m_views.end() && position->second.connection == connection) {
        position->second.connection = nullptr;
        m_members.onDisconnected(connection->peer().node, connection->peer().incarnation);
    }
}

bool endpoint_directory::eligibleLocked(const member &each, const caller_request &request,
                                        const configuration &content) const
{
    const endpoint_override *own = m_overrides.find(each.name);
    if (!content.inService(each.status.dataCentre) || (own != nullptr && own->drained)) {
        return false;
    }
    const bool serves =
        request.kind == endpoint_kind::service || std::ranges::count(each.status.models, request.model) > 0;
    if (!serves) {
        return false;
    }
    const label_set labels = own == nullptr ? each.status.labels : own->effectiveLabels(each.status.labels);
    return std::ranges::any_of(content.pools, [&](const endpoint_pool &pool) {
        return pool.kind == request.kind && (pool.kind == endpoint_kind::service || pool.model == request.model)
            && request.pools.matches(pool.labels) && pool.members.matches(labels);
    });
}

std::vector<const member *> endpoint_directory::eligibleLocked(const caller_request &request, time_point now)
{
    const configuration_ptr current = m_configuration.current();
    m_overrides.use(current);
    std::vector<const member *> eligible = m_members.usable(now);
    std::erase_if(eligible, [&](const member *each) { return !eligibleLocked(*each, request, current->content); });
    return eligible;
}

endpoint_candidate endpoint_directory::candidateLocked(const member &each, time_point now)
{
    const local_view &view = m_views[each.name];
    const breaker_state breaker = m_breaker.state(now, each.name);
    endpoint_candidate candidate;
    candidate.name = each.name;
    candidate.dataCentre = each.status.dataCentre;
    candidate.nameHash = view.nameHash;
    candidate.state = each.status.state;
    candidate.cold = each.status.cold;
    candidate.ejected = breaker.ejected;
    candidate.probeAllowed = breaker.probeAllowed;
    candidate.inFlight = each.status.inFlight;
    candidate.queued = each.status.queued;
    candidate.limit = each.status.limit;
    candidate.ownInFlight = view.inFlight;
    candidate.ownInFlightAtStatus = view.inFlightAtStatus;
    candidate.meanServiceMs = each.status.meanServiceMs;
    candidate.statusAge = each.heardAt ? now - *each.heardAt : boot_clock::duration::max();
    return candidate;
}

link_ptr endpoint_directory::choose(const caller_request &request, const std::vector<std::string> &tried,
                                    time_point now)
{
    const std::vector<std::uint64_t> chain = prefix_index::chain(request.prompt);
    const std::vector<std::string_view> triedNames(tried.begin(), tried.end());
    const std::scoped_lock lock(m_mutex);
    const std::vector<const member *> eligible = eligibleLocked(request, now);
    const std::vector<prefix_match> matches = m_prefixes.find(chain);
    std::vector<endpoint_candidate> candidates;
    candidates.reserve(eligible.size());
    for (const member *each : eligible) {
        candidates.push_back(candidateLocked(*each, now));
        const auto match = std::ranges::find(matches, candidates.back().nameHash, &prefix_match::endpoint);
        candidates.back().affinity = match == matches.end() ? 0 : match->share;
    }
    m_breaker.setPoolSize(candidates.size());
    choice_request choice;
    choice.localDataCentre = m_settings.dataCentre;
    choice.prefixChain = chain;
    choice.priority = request.priority;
    choice.tried = triedNames;
    auto chosen = m_chooser->choose(candidates, choice, m_random);
    if (request.session) {
        // Prefer the endpoint that returned the newest state to the caller, because it is the most likely to have it.
        const auto preferred = std::ranges::find(candidates, request.session->endpoint, &endpoint_candidate::name);
        if (preferred != candidates.end() && std::ranges::count(tried, request.session->endpoint) == 0) {
            chosen = static_cast<std::size_t>(preferred - candidates.begin());
        }
    }
    if (!chosen) {
        return nullptr;
    }
    const std::string name(candidates[*chosen].name);
    local_view &view = m_views[name];
    if (view.connection != nullptr) {
        ++view.inFlight;
        m_breaker.onSent(now, name);
        m_prefixes.record(chain, view.nameHash);
    }
    return view.connection;
}

void endpoint_directory::removeInFlightLocked(const std::string &endpoint)
{
    local_view &view = m_views[endpoint];
    view.inFlight = std::max(0, view.inFlight - 1);
    view.inFlightAtStatus = std::min(view.inFlightAtStatus, view.inFlight);
}

void endpoint_directory::onAnswered(const std::string &endpoint, std::chrono::nanoseconds latency, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    removeInFlightLocked(endpoint);
    m_breaker.onAnswered(now, endpoint, std::chrono::duration<double, std::milli>(latency).count());
}

void endpoint_directory::onFailed(const std::string &endpoint, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    removeInFlightLocked(endpoint);
    m_breaker.onFailed(now, endpoint);
}

void endpoint_directory::onNeutral(const std::string &endpoint)
{
    const std::scoped_lock lock(m_mutex);
    removeInFlightLocked(endpoint);
    m_breaker.onNeutral(endpoint);
}

std::chrono::milliseconds endpoint_directory::retryAfter(const caller_request &request, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    int queued = 0;
    int limit = 0;
    double serviceMs = 0;
    for (const member *each : eligibleLocked(request, now)) {
        queued += each->status.queued;
        limit += each->status.limit;
        serviceMs = std::max(serviceMs, each->status.meanServiceMs);
    }
    return retryAfterEstimate(queued, std::max(limit, 1), serviceMs, m_random);
}

std::size_t endpoint_directory::usableCount(time_point now) const
{
    const std::scoped_lock lock(m_mutex);
    return m_members.usable(now).size();
}

nlohmann::json endpoint_directory::describe(time_point now) const
{
    const std::scoped_lock lock(m_mutex);
    nlohmann::json endpoints = nlohmann::json::array();
    for (const member *each : m_members.known()) {
        const endpoint_status &status = each->status;
        const auto view = m_views.find(each->name);
        const bool usable = m_members.usable(now, *each);
        const char *state = !usable                    ? (each->leaving ? "leaving" : "unreachable")
            : m_breaker.state(now, each->name).ejected ? "ejected"
                                                       : "serving";
        endpoints.push_back({{"name", each->name},
                             {"address", each->address},
                             {"data_centre", status.dataCentre},
                             {"state", state},
                             {"cold", status.cold},
                             {"in_flight", status.inFlight},
                             {"limit", status.limit},
                             {"queued", status.queued},
                             {"models", status.models},
                             {"labels", status.labels},
                             {"own_in_flight", view == m_views.end() ? 0 : view->second.inFlight}});
    }
    return endpoints;
}

} // namespace bronzechute
