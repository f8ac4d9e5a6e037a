#include "gateway/quarantine_record.h"

#include "base/bounded_json.h"
#include "observe/log.h"
#include "quarantine/part_quarantine.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bronzechute {

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds retryInterval {1000};
// In this time one of the gateways writes, and the others find that nothing is left to do.
constexpr std::chrono::milliseconds writeSpread {1000};

std::int64_t unixMs(time_point at, time_point now, std::chrono::system_clock::time_point wallClock)
{
    const auto wall = wallClock + std::chrono::duration_cast<std::chrono::system_clock::duration>(at - now);
    return std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch()).count();
}

time_point fromUnixMs(std::int64_t at, time_point now, std::chrono::system_clock::time_point wallClock)
{
    const auto wallNow = std::chrono::duration_cast<std::chrono::milliseconds>(wallClock.time_since_epoch()).count();
    // Keeps a time that makes no sense from overflowing the clock.
    constexpr std::chrono::milliseconds limit =
        2 * std::chrono::duration_cast<std::chrono::milliseconds>(part_quarantine::maxDuration);
    return now + std::chrono::milliseconds(std::clamp(at - wallNow, -limit.count(), limit.count()));
}

/** @returns the entries of both, without those that answers disprove, and at most as many as gateways hold. */
std::vector<quarantined_part> merged(const std::vector<quarantined_part> &kept, const crash_evidence &news)
{
    std::vector<quarantined_part> all;
    for (const quarantined_part &entry : news.quarantined) {
        if (entry.convictions > 0) {
            all.push_back(entry);
        }
    }
    for (const quarantined_part &entry : kept) {
        const bool isReplaced = std::ranges::find(all, entry.part, &quarantined_part::part) != all.end();
        const auto answered = news.answers.find(entry.part);
        const bool isDisproved = answered != news.answers.end() && answered->second > entry.since;
        if (!isReplaced && !isDisproved) {
            all.push_back(entry);
        }
    }
    std::ranges::sort(all, std::greater(), &quarantined_part::since);
    all.resize(std::min(all.size(), part_quarantine::maxQuarantined));
    return all;
}

/** @returns whether both have the same parts with the same number of convictions. */
bool sameDecisions(const std::vector<quarantined_part> &left, const std::vector<quarantined_part> &right)
{
    const auto isIn = [&right](const quarantined_part &entry) {
        return std::ranges::any_of(right, [&entry](const quarantined_part &other) {
            return other.part == entry.part && other.convictions == entry.convictions;
        });
    };
    return left.size() == right.size() && std::ranges::all_of(left, isIn);
}

} // namespace

std::string encodeQuarantineRecord(const std::vector<quarantined_part> &entries, time_point now,
                                   std::chrono::system_clock::time_point wallClock)
{
    json record = json::array();
    for (const quarantined_part &entry : entries) {
        record.push_back({{"part", entry.part},
                          {"since_unix_ms", unixMs(entry.since, now, wallClock)},
                          {"until_unix_ms", unixMs(entry.until, now, wallClock)},
                          {"convictions", entry.convictions}});
    }
    return record.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<quarantined_part> decodeQuarantineRecord(const std::string &text, time_point now,
                                                     std::chrono::system_clock::time_point wallClock)
{
    std::vector<quarantined_part> entries;
    try {
        for (const json &entry : parseBoundedJson(text)) {
            quarantined_part decoded;
            entry.at("part").get_to(decoded.part);
            decoded.since = fromUnixMs(entry.at("since_unix_ms").get<std::int64_t>(), now, wallClock);
            decoded.until = fromUnixMs(entry.at("until_unix_ms").get<std::int64_t>(), now, wallClock);
            decoded.convictions = std::max(1, entry.at("convictions").get<int>());
            if (decoded.until > now && entries.size() < part_quarantine::maxQuarantined) {
                entries.push_back(std::move(decoded));
            }
        }
    } catch (const std::exception &failure) {
        logLine(log_level::warn, "gateway", "malformed record of quarantined prompt parts is ignored",
                {{"cause", failure.what()}});
        return {};
    }
    return entries;
}

quarantine_record::quarantine_record(platform_store &store, std::string key, listener onRead)
    : m_store(store)
    , m_key(std::move(key))
    , m_onRead(std::move(onRead))
    , m_random(std::random_device()())
    , m_thread([this] { run(); })
{
}

quarantine_record::~quarantine_record()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    m_thread.join();
}

void quarantine_record::save(crash_evidence evidence)
{
    const std::scoped_lock lock(m_mutex);
    m_pending = std::move(evidence);
    m_changed.notify_all();
}

void quarantine_record::run()
{
    while (!synchronize()) {
        if (!pauseBeforeRetry()) {
            return;
        }
    }
    while (waitForWork()) {
        while (!synchronize()) {
            if (!pauseBeforeRetry()) {
                return;
            }
        }
    }
}

bool quarantine_record::pauseBeforeRetry()
{
    std::unique_lock lock(m_mutex);
    return !m_changed.wait_for(lock, retryInterval, [this] { return m_stopping; });
}

bool quarantine_record::waitForWork()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_stopping || m_pending.has_value(); });
    const std::chrono::milliseconds delay(m_random() % static_cast<std::uint64_t>(writeSpread.count()));
    return !m_changed.wait_for(lock, delay, [this] { return m_stopping; });
}

bool quarantine_record::synchronize()
{
    const auto current = m_store.get(m_key);
    if (!current) {
        return false;
    }
    const time_point now = boot_clock::now();
    const auto wallClock = std::chrono::system_clock::now();
    std::vector<quarantined_part> kept;
    if (current.value()) {
        kept = decodeQuarantineRecord(current.value()->value, now, wallClock);
    }
    if (!m_loaded && !kept.empty()) {
        m_onRead({{}, {}, kept, {}});
    }
    m_loaded = true;
    crash_evidence news;
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_pending) {
            return true;
        }
        news = *m_pending;
    }
    const std::vector<quarantined_part> wanted = merged(kept, news);
    if (!sameDecisions(kept, wanted)) {
        const std::int64_t revision = current.value() ? current.value()->modRevision : 0;
        const auto written = m_store.compareAndSwap(m_key, revision, encodeQuarantineRecord(wanted, now, wallClock));
        if (!written) {
            return false;
        }
    }
    const std::scoped_lock lock(m_mutex);
    if (m_pending == news) {
        m_pending.reset();
    }
    return true;
}

} // namespace bronzechute
