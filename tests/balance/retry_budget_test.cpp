#include "balance/cold_permits.h"
#include "balance/windowed_retry_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr retry_limits limits {10s, 0.2, 90};
constexpr milliseconds length = 60s;
constexpr milliseconds step = 20ms;
constexpr milliseconds restartTime = 400ms;
// A gateway that has started hears of the others after this time, and is sure to know them after the second one.
constexpr milliseconds hearingTime = 100ms;
constexpr milliseconds discoveryTime = 3s;
const time_point origin {1h};

/** When the processes of gateways are killed. */
using kill_times = std::vector<milliseconds> (*)(int gateway);

/** Fleets of gateways that lose processes, or each other. */
struct fleet_row
{
    const char *name; ///< Failure that the row guards against.
    int gateways;
    kill_times kills;
    int sets; ///< Into which a cut divides the gateways from the 20th second on.
    bool startsAlone; ///< A gateway that has started never hears of another one.
};

std::vector<milliseconds> never(int)
{
    return {};
}

std::vector<milliseconds> allAtOnce(int)
{
    return {15s, 17s, 19s, 35s};
}

std::vector<milliseconds> inTurn(int gateway)
{
    return {15s + gateway * 500ms, 18s + gateway * 500ms};
}

std::vector<milliseconds> onlyTheFirst(int gateway)
{
    return gateway == 0 ? std::vector<milliseconds> {25s} : std::vector<milliseconds> {};
}

std::string hostNumber(int index)
{
    return "10.0.0." + std::to_string(index);
}

/** One gateway, whose requests all fail and are retried as often as the budget allows. */
class failing_gateway
{
public:
    failing_gateway(const fleet_row &row, int index) : m_row(row), m_index(index), m_kills(row.kills(index))
    {
        start(origin - 1h);
    }

    /** @returns the number of retries that it sends at the time. */
    int advance(milliseconds now)
    {
        const time_point at = origin + now;
        if (!m_kills.empty() && now >= m_kills.front()) {
            m_kills.erase(m_kills.begin());
            start(at + restartTime);
        }
        if (at < m_startedAt) {
            return 0;
        }
        retry_limits own = limits;
        own.fixed = wholePermitShare(view(now), "service", limits.fixed);
        m_budget.setLimits(own);
        m_budget.onRequest(at);
        int retries = 0;
        while (m_budget.tryTake(at)) {
            ++retries;
        }
        return retries;
    }

private:
    void start(time_point at)
    {
        m_startedAt = at;
        m_budget = windowed_retry_budget(limits, at);
    }

    gateway_fleet view(milliseconds now) const
    {
        const auto age = origin + now - m_startedAt;
        const bool isAlone = age < hearingTime || (m_row.startsAlone && age < 1h);
        const int sets = now >= 20s ? m_row.sets : 1;
        gateway_fleet fleet;
        fleet.self = hostNumber(m_index);
        fleet.members.clear();
        for (int other = 0; other < m_row.gateways; ++other) {
            if (other == m_index || (!isAlone && other % sets == m_index % sets)) {
                fleet.members.push_back(hostNumber(other));
            }
        }
        fleet.highestCount = isAlone ? 1 : m_row.gateways;
        fleet.discovered = age >= discoveryTime;
        fleet.expectedCount = std::min(m_row.gateways, 4); // Three seeds and itself.
        return fleet;
    }

    const fleet_row &m_row;
    const int m_index;
    std::vector<milliseconds> m_kills;
    time_point m_startedAt;
    windowed_retry_budget m_budget {limits, origin};
};

class retries_of_fleets : public testing::TestWithParam<fleet_row>
{
};

TEST_P(retries_of_fleets, stayWithinTheBudgetInEachWindow)
{
    const fleet_row &row = GetParam();
    std::vector<failing_gateway> gateways;
    gateways.reserve(static_cast<std::size_t>(row.gateways));
    for (int index = 0; index < row.gateways; ++index) {
        gateways.emplace_back(row, index);
    }
    const double requests = row.gateways * static_cast<double>(limits.window / step);
    std::deque<std::pair<milliseconds, int>> sent;
    int inWindow = 0;
    int most = 0;
    for (milliseconds now {0}; now < length; now += step) {
        int retries = 0;
        for (failing_gateway &gateway : gateways) {
            retries += gateway.advance(now);
        }
        sent.emplace_back(now, retries);
        inWindow += retries;
        while (now - sent.front().first >= limits.window) {
            inWindow -= sent.front().second;
            sent.pop_front();
        }
        most = std::max(most, inWindow);
    }
    const double allowed = limits.share * requests + limits.fixed;
    EXPECT_LE(most, allowed);
    EXPECT_GE(most, allowed * 0.9); // The budget is also of use.
}

INSTANTIATE_TEST_SUITE_P(rows, retries_of_fleets,
                         testing::Values(fleet_row {"calm_four_exceed_it", 4, never, 1, false},
                                         fleet_row {"killed_at_once_have_it_anew", 4, allAtOnce, 1, false},
                                         fleet_row {"killed_in_turn_have_it_anew", 4, inTurn, 1, false},
                                         fleet_row {"restarted_alone_takes_it_all", 4, onlyTheFirst, 1, true},
                                         fleet_row {"halves_take_it_twice", 4, never, 2, false},
                                         fleet_row {"sixty_killed_at_once_have_it_anew", 60, allAtOnce, 1, false},
                                         fleet_row {"sixty_in_three_sets_take_it_thrice", 60, never, 3, false}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace

} // namespace bronzechute
