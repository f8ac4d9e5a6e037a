#include "naive_simulation.h"
#include "order_explorer.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

struct naive_row
{
    const char *name; ///< The failure that the case guards against.
    int drops;
};

class naive_protocol : public testing::TestWithParam<naive_row>
{
};

TEST_P(naive_protocol, checkDetectsTwoMapsInOneStep)
{
    const auto report = exploreOrders(naive_simulation(GetParam().drops), 24, 100'000, [](const naive_simulation &) {});
    EXPECT_TRUE(report.violated);
}

INSTANTIATE_TEST_SUITE_P(rows, naive_protocol,
                         testing::Values(naive_row {"check_overlooks_a_late_command", 0},
                                         naive_row {"check_overlooks_a_lost_command", 1}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
