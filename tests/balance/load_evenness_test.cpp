#include "balance/load_evenness.h"

#include <gtest/gtest.h>

#include <vector>

namespace bronzechute {

namespace {

endpoint_view running(int requests, int slots)
{
    endpoint_view view;
    view.running = requests;
    view.slots = slots;
    return view;
}

TEST(load_evenness, isTheHighestUtilizationOverTheMean)
{
    EXPECT_DOUBLE_EQ(busiestOverMean(std::vector {running(4, 10), running(2, 10), running(3, 10)}), 4.0 / 3);
    EXPECT_DOUBLE_EQ(busiestOverMean(std::vector {running(4, 20), running(2, 10)}), 1.0) << "by slots";
}

TEST(load_evenness, saysNothingOfAnAlmostIdleService)
{
    EXPECT_EQ(busiestOverMean(std::vector {running(1, 10), running(0, 10), running(1, 10)}), 0);
    EXPECT_EQ(busiestOverMean({}), 0);
}

} // namespace

} // namespace bronzechute
