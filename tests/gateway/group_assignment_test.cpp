#include "gateway/group_assignment.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start(1h);
constexpr pass_latency_model model {35.0, 2.8, 10.0, 120ms};
constexpr std::size_t levels = 3;
constexpr int ranks = 24;

/** Three groups whose passes allow five to six requests an engine. */
class overloaded_groups : public testing::Test
{
protected:
    overloaded_groups()
    {
        for (std::size_t index = 0; index < m_groups.size(); ++index) {
            m_groups.at(index).name = std::to_string(index);
            m_groups.at(index).endpoints = ranks;
            for (int count = 0; count < 60; ++count) {
                m_groups.at(index).pace.record(148ms, 10, start + count * 10ms);
            }
        }
    }

    void assign(std::array<int, 3> runningPerRank, time_point now = start + 700ms)
    {
        std::vector<endpoint_group *> groups;
        std::vector<group_member> members;
        for (std::size_t index = 0; index < m_groups.size(); ++index) {
            endpoint_group &group = m_groups.at(index);
            group.running = runningPerRank.at(index) * ranks;
            groups.push_back(&group);
            members.push_back({&group, true, runningPerRank.at(index) < model.slots});
        }
        assignRequests(groups, members, model, levels, 1.0, now);
    }

    std::vector<bool> taking(std::size_t level) const
    {
        return {m_groups[0].takes[level], m_groups[1].takes[level], m_groups[2].takes[level]};
    }

    std::array<endpoint_group, 3> m_groups;
};

TEST_F(overloaded_groups, takeUrgentRequestsWhereTheyAreInTimeAndTheRestElsewhere)
{
    assign({7, 4, 7});
    EXPECT_EQ(taking(0), (std::vector<bool> {false, true, false}));
    assign({7, 7, 7});
    EXPECT_EQ(taking(0), (std::vector<bool> {true, false, false}));
    EXPECT_EQ(taking(2), (std::vector<bool> {true, false, false}));
    assign({10, 7, 7});
    EXPECT_EQ(taking(0), (std::vector<bool> {false, false, false})) << "the other groups became late too";
}

TEST_F(overloaded_groups, takeEverythingOnceNothingIsKnownOfTheirPasses)
{
    assign({9, 9, 9}, start + 20s);
    EXPECT_EQ(taking(2), (std::vector<bool> {true, true, true}));
}

} // namespace

} // namespace bronzechute
