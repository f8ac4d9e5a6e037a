#include "soak/soak_callers.h"

#include "http/curl_http_client.h"
#include "standins/routed_answer.h"
#include "standins/site_document.h"

#include <algorithm>
#include <array>

namespace bronzechute::soak {

namespace {

using std::chrono::milliseconds;
using namespace standins;

constexpr int callers = 12;
constexpr int burstCallers = 8;
constexpr milliseconds pause {40}; ///< Between two requests of a caller.
constexpr milliseconds probePause {100};
constexpr milliseconds deadline {3000};
constexpr milliseconds leaveTimeout {60};
constexpr int leaveOneIn = 25;
constexpr int streamEvents = 8;

constexpr std::array<const char *, 3> paths {"/read/a", "/order/a", "/stream/a"};

std::string expectedBody(const std::string &id, call_kind kind)
{
    if (kind != call_kind::stream) {
        return routedBody(id, paths.at(static_cast<std::size_t>(kind)));
    }
    std::string body;
    for (int number = 1; number <= streamEvents; ++number) {
        body += routedEvent(id, number);
    }
    return body;
}

http_call callOf(const std::string &url, const std::string &id, milliseconds timeout)
{
    http_call call;
    call.url = url;
    call.timeout = timeout;
    call.headers = {{"Host", site_names::host},
                    {"X-Attempt-Id", id},
                    {"X-Deadline-Ms", std::to_string(deadline.count())},
                    {"Authorization", std::string("Bearer ") + site_names::key}};
    return call;
}

bool isGenuine(const http_answer &answer, const call_record &call)
{
    return answer.body == expectedBody(call.id, call.kind)
        && findHeader(answer.headers, "X-Server-Signature") == routedSignature(call.id);
}

milliseconds returnAfter(const http_answer &answer)
{
    constexpr double perSecond = 1000.0;
    const auto field = findHeader(answer.headers, "Retry-After");
    return field ? milliseconds(static_cast<int>(std::stod(*field) * perSecond)) : milliseconds(0);
}

} // namespace

site_view::site_view(std::map<std::string, std::string> gateways) : m_gateways(std::move(gateways))
{
}

void site_view::nextIncarnation(const std::string &gateway)
{
    const std::scoped_lock lock(m_mutex);
    ++m_incarnations[gateway];
}

int site_view::incarnation(const std::string &gateway) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_incarnations.find(gateway);
    return found == m_incarnations.end() ? 0 : found->second;
}

void site_view::setNewest(std::int64_t version)
{
    const std::scoped_lock lock(m_mutex);
    m_newest = version;
}

std::int64_t site_view::newest() const
{
    const std::scoped_lock lock(m_mutex);
    return m_newest;
}

soak_callers::soak_callers(const site_view &view, std::uint64_t seed) : m_view(view)
{
    for (int caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([this, caller, seed] { send(seed * callers + static_cast<std::uint64_t>(caller)); });
    }
    for (int caller = 0; caller < burstCallers; ++caller) {
        m_threads.emplace_back(
            [this, caller, seed] { sendBurst(seed * burstCallers + static_cast<std::uint64_t>(caller)); });
    }
    for (const auto &[gateway, url] : view.gateways()) {
        m_threads.emplace_back([this, name = gateway] { probe(name); });
    }
}

soak_callers::~soak_callers()
{
    m_stopped = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void soak_callers::stop(soak_evidence &evidence)
{
    m_stopped = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    evidence.calls.insert(evidence.calls.end(), m_calls.begin(), m_calls.end());
    evidence.probes.insert(evidence.probes.end(), m_probes.begin(), m_probes.end());
}

call_record soak_callers::prepare(const char *prefix, std::size_t kinds, std::mt19937_64 &random)
{
    const auto &gateways = m_view.gateways();
    call_record call;
    call.gateway = std::next(gateways.begin(), static_cast<std::ptrdiff_t>(random() % gateways.size()))->first;
    call.kind = static_cast<call_kind>(random() % kinds);
    call.id = prefix + std::to_string(++m_ids);
    return call;
}

milliseconds soak_callers::perform(call_record call, milliseconds timeout, http_client &client)
{
    const std::string url = m_view.gateways().at(call.gateway) + paths.at(static_cast<std::size_t>(call.kind));
    http_call request = callOf(url, call.id, timeout);
    request.method = call.kind == call_kind::read ? "GET" : "POST";
    call.sentAt = boot_clock::now();
    const auto answer = client.perform(request);
    call.endedAt = boot_clock::now();
    milliseconds wait {0};
    if (answer) {
        call.status = answer.value().status;
        call.genuine = isGenuine(answer.value(), call);
        call.saidLeaving = findHeader(answer.value().headers, "Server-Leaving").has_value();
        wait = returnAfter(answer.value());
    }
    const std::scoped_lock lock(m_mutex);
    m_calls.push_back(call);
    return wait;
}

void soak_callers::send(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    curl_http_client client;
    while (!m_stopped) {
        call_record call = prepare("soak-", paths.size(), random);
        call.owed = random() % leaveOneIn != 0;
        const milliseconds wait = perform(call, call.owed ? deadline + milliseconds(500) : leaveTimeout, client);
        std::this_thread::sleep_for(std::clamp(wait, pause, deadline / 3));
    }
}

void soak_callers::sendBurst(std::uint64_t seed)
{
    constexpr std::size_t plainKinds = 2; // Not streams.
    std::mt19937_64 random(seed);
    curl_http_client client;
    while (!m_stopped) {
        if (!m_burst) {
            std::this_thread::sleep_for(pause);
            continue;
        }
        call_record call = prepare("burst-", plainKinds, random);
        call.owed = false;
        perform(call, deadline, client);
    }
}

void soak_callers::probe(const std::string &gateway)
{
    curl_http_client client;
    const std::string url = m_view.gateways().at(gateway);
    while (!m_stopped) {
        version_probe record;
        record.gateway = gateway;
        record.incarnation = m_view.incarnation(gateway);
        record.version = m_view.newest();
        record.sentAt = boot_clock::now();
        const std::string id = "probe-" + std::to_string(++m_ids);
        const auto answer =
            client.perform(callOf(url + "/marker-" + std::to_string(record.version) + "/a", id, deadline));
        record.endedAt = boot_clock::now();
        record.newest = m_view.newest();
        call_record call {id, call_kind::read, gateway, record.sentAt, record.endedAt, 0, true, false};
        call.saidLeaving = answer && findHeader(answer.value().headers, "Server-Leaving");
        const std::scoped_lock lock(m_mutex);
        m_calls.push_back(call);
        if (answer && record.incarnation == m_view.incarnation(gateway)) {
            record.status = answer.value().status;
            m_probes.push_back(record);
        }
        std::this_thread::sleep_for(probePause);
    }
}

} // namespace bronzechute::soak
