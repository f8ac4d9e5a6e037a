#include "balance/load_forecast.h"

#include <gtest/gtest.h>

#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

constexpr time_point start {1h};

/** A gateway among others whose requests each take 1 s, at four endpoints. */
class foreseen_load : public testing::Test
{
protected:
    foreseen_load()
    {
        m_forecast.setAge(250ms);
        for (int request = 0; request < 30; ++request) {
            const time_point placed = start + request * 1s;
            m_forecast.recordPlaced(1000, placed);
            m_forecast.recordReleased(placed + 1s);
        }
    }

    /** Lets the others report the same for some time. */
    void hear(const std::vector<int> &peers, std::chrono::milliseconds duration)
    {
        m_work.resize(peers.size());
        for (std::size_t index = 0; index < peers.size(); ++index) {
            m_work[index].peers.requests = peers[index];
        }
        for (const time_point end = m_now + duration; m_now < end; m_now += 20ms) {
            m_forecast.advance(views(), m_work, m_now);
        }
    }

    std::vector<endpoint_view> views() const
    {
        std::vector<endpoint_view> views(m_work.size());
        for (std::size_t index = 0; index < views.size(); ++index) {
            views[index].slots = 10;
            views[index].running = m_work[index].own.requests + m_work[index].peers.requests;
        }
        return views;
    }

    std::vector<endpoint_view> applied() const
    {
        std::vector<endpoint_view> result = views();
        m_forecast.apply(result, m_work, m_now);
        return result;
    }

    load_forecast m_forecast;
    std::vector<endpoint_work> m_work;
    time_point m_now = start + 30s;
};

TEST_F(foreseen_load, aSteadyEvenLoadStaysWhatItIs)
{
    hear({4, 4, 4, 4}, 2s);
    for (const endpoint_view &view : applied()) {
        EXPECT_NEAR(view.extraWork, 0, 0.01) << "as many are placed as end";
    }
}

TEST_F(foreseen_load, aShortageThatAllSeeIsFilledBeforeItIsReported)
{
    hear({0, 6, 6, 6}, 250ms);
    const auto result = applied();
    EXPECT_GT(result[0].extraWork, 1.0);
    EXPECT_LT(result[1].extraWork, -0.3) << "its requests end, and the new ones go elsewhere";
}

TEST_F(foreseen_load, withKnowledgeOfTheMomentNothingIsForeseen)
{
    m_forecast.setAge(0ms);
    hear({0, 6, 6, 6}, 2s);
    for (const endpoint_view &view : applied()) {
        EXPECT_EQ(view.extraWork, 0);
    }
    EXPECT_EQ(m_forecast.concurrent(m_work, m_now), 0) << "the least loaded endpoint is taken";
}

TEST_F(foreseen_load, aGatewayAloneForeseesNothing)
{
    hear({0, 0, 0, 0}, 2s);
    m_work[1].own.requests = 3;
    EXPECT_EQ(applied()[1].extraWork, 0);
    EXPECT_EQ(m_forecast.concurrent(m_work, m_now), 0);
}

TEST_F(foreseen_load, olderReportsSpreadMore)
{
    hear({4, 4, 4, 4}, 20ms);
    const double old = m_forecast.concurrent(m_work, m_now);
    m_forecast.setAge(40ms);
    EXPECT_GT(old, 1.4 * m_forecast.concurrent(m_work, m_now));
}

TEST_F(foreseen_load, tokensCountAsFarAsTheyAreWork)
{
    m_work.resize(2);
    m_work[0].own = {2, 8000};
    m_work[1].own = {2, 0};
    m_forecast.configure(0.5, 100000);
    const auto result = applied();
    // Half by count, half by tokens over the mean of 1,000.
    EXPECT_NEAR(result[0].running + result[0].extraWork, 0.5 * 2 + 0.5 * 8, 1e-9);
    EXPECT_NEAR(result[1].extraWork, 0, 1e-9) << "their tokens are not known";
    EXPECT_NEAR(result[0].memoryUse, 0.08, 1e-9);
}

TEST(residence_estimate, followsTheTimeThatSlotsAreHeld)
{
    residence_estimate estimate;
    EXPECT_EQ(estimate.mean(start), 1s) << "assumed before the first request ended";
    for (int request = 0; request < 40; ++request) {
        const time_point placed = start + request * 500ms;
        estimate.recordPlaced(0, placed);
        estimate.recordReleased(placed + 200ms);
    }
    EXPECT_NEAR(estimate.mean(start + 20s).count(), 0.2, 0.06);
    EXPECT_EQ(estimate.meanTokens(), 0);
}

} // namespace

} // namespace bronzechute
