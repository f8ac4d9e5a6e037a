#include "gateway/message_codec.h"

#include <msgpack.hpp>

#include <algorithm>
#include <cmath>

namespace bronzechute {

namespace {

using json = nlohmann::json;

constexpr std::size_t avoidedIndex = 3; ///< In the state of a group; earlier program versions lack it.
constexpr std::size_t maxServices = 16; ///< In one message.
constexpr std::size_t wholeSummarySize = 11; ///< Fields of a queue_summary; earlier program versions send seven.
constexpr int maxNesting = 16; ///< Of arrays and objects in a message.

/** Visitor of a MessagePack message that ends the visit at the first value that is nested too deeply. */
class nesting_limiter : public msgpack::null_visitor
{
public:
    bool start_array(std::uint32_t) // NOLINT(readability-identifier-naming): called by the parser
    {
        return ++m_nesting <= maxNesting;
    }

    bool start_map(std::uint32_t) // NOLINT(readability-identifier-naming): called by the parser
    {
        return ++m_nesting <= maxNesting;
    }

    bool end_array() // NOLINT(readability-identifier-naming): called by the parser
    {
        --m_nesting;
        return true;
    }

    bool end_map() // NOLINT(readability-identifier-naming): called by the parser
    {
        --m_nesting;
        return true;
    }

private:
    int m_nesting = 0;
};

/** The decoder of nlohmann-json calls itself for each level, so a datagram could exhaust the stack. */
bool isNestedTooDeeply(std::string_view datagram)
{
    nesting_limiter limiter;
    std::size_t offset = 0;
    return !msgpack::parse(datagram.data(), datagram.size(), offset, limiter);
}

} // namespace

json parseMessage(std::string_view datagram)
{
    if (isNestedTooDeeply(datagram)) {
        return {json::value_t::discarded};
    }
    return json::from_msgpack(datagram, true, false);
}

void limitAccounts(queue_summary &summary)
{
    while (summary.waitingByRank.size() > maxSummaryRanks) {
        summary.waitingByRank.erase(std::prev(summary.waitingByRank.end()));
    }
    for (auto *const work : {&summary.tokensByAccount, &summary.refusedByAccount}) {
        while (work->size() > maxSummaryAccounts) {
            work->erase(std::ranges::min_element(*work, {}, [](const auto &entry) { return entry.second; }));
        }
    }
}

json encodeQueues(const std::map<std::string, queue_summary> &queues)
{
    json value = json::object();
    for (const auto &[service, queue] : queues) {
        if (value.size() == maxServices) {
            break;
        }
        queue_summary limited = queue;
        limitAccounts(limited);
        value[service] = {limited.waiting,
                          limited.waitingTokens,
                          limited.longestWaitMs,
                          limited.startsPerSecond,
                          limited.refusalsPerSecond,
                          limited.promisedReturns,
                          limited.tokensByAccount,
                          limited.arrivalsPerSecond,
                          limited.laterReturns,
                          limited.refusedByAccount,
                          std::vector(limited.waitingByRank.begin(), limited.waitingByRank.end())};
    }
    return value;
}

/** Bounds the values of a summary, so that sums of many do not overflow, whoever sent it. */
void limitValues(queue_summary &summary)
{
    constexpr int maxRequests = 1'000'000;
    constexpr std::int64_t maxTokens = 1'000'000'000'000;
    constexpr double maxValue = 1e6;
    for (int *count : {&summary.waiting, &summary.promisedReturns}) {
        *count = std::clamp(*count, 0, maxRequests);
    }
    for (int &count : summary.laterReturns) {
        count = std::clamp(count, 0, maxRequests);
    }
    for (auto &[rank, count] : summary.waitingByRank) {
        count = std::clamp(count, 0, maxRequests);
    }
    for (double *value :
         {&summary.longestWaitMs, &summary.startsPerSecond, &summary.refusalsPerSecond, &summary.arrivalsPerSecond}) {
        *value = std::isfinite(*value) ? std::clamp(*value, 0.0, maxValue) : 0.0;
    }
    summary.waitingTokens = std::clamp<std::int64_t>(summary.waitingTokens, 0, maxTokens);
    for (auto *work : {&summary.tokensByAccount, &summary.refusedByAccount}) {
        for (auto &[account, tokens] : *work) {
            tokens = std::clamp<std::int64_t>(tokens, 0, maxTokens);
        }
    }
}

std::map<std::string, queue_summary> decodeQueues(const json &value)
{
    std::map<std::string, queue_summary> queues;
    for (const auto &[service, queue] : value.items()) {
        if (queues.size() == maxServices) {
            break;
        }
        queue_summary &summary = queues[service];
        queue.at(0).get_to(summary.waiting);
        queue.at(1).get_to(summary.waitingTokens);
        queue.at(2).get_to(summary.longestWaitMs);
        queue.at(3).get_to(summary.startsPerSecond);
        queue.at(4).get_to(summary.refusalsPerSecond);
        queue.at(5).get_to(summary.promisedReturns);
        queue.at(6).get_to(summary.tokensByAccount);
        if (queue.size() >= wholeSummarySize) {
            queue.at(7).get_to(summary.arrivalsPerSecond);
            queue.at(8).get_to(summary.laterReturns);
            queue.at(9).get_to(summary.refusedByAccount);
            for (const json &entry : queue.at(10)) {
                summary.waitingByRank.emplace(entry.at(0), entry.at(1));
            }
        }
        limitValues(summary);
        limitAccounts(summary);
    }
    return queues;
}

json encodeGroups(const std::vector<group_state> &groups)
{
    json value = json::array();
    for (const group_state &group : groups) {
        value.push_back({group.name, group.open, group.endpoints, group.avoided});
    }
    return value;
}

std::vector<group_state> decodeGroups(const json &value)
{
    std::vector<group_state> groups;
    for (const json &group : value) {
        groups.push_back({group.at(0), group.at(1), group.at(2), {}});
        if (group.size() > avoidedIndex) {
            group.at(avoidedIndex).get_to(groups.back().avoided);
        }
    }
    return groups;
}

} // namespace bronzechute
