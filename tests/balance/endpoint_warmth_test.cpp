#include "balance/endpoint_warmth.h"
#include "balance/recent_peak.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start {1h};
constexpr std::chrono::seconds period {4};

struct warmth_row
{
    const char *name; ///< Failure that the row guards against.
    std::function<void(endpoint_warmth &)> happen;
    std::chrono::milliseconds lastCold; ///< Time after the start at which it must still count as cold.
    std::chrono::milliseconds firstWarm; ///< Time after the start from which it must count as warm.
};

class warmth : public testing::TestWithParam<warmth_row>
{
};

TEST_P(warmth, followsFromWhatIsKnown)
{
    endpoint_warmth known;
    known.setWarm();
    ASSERT_TRUE(known.isWarm(start));
    GetParam().happen(known);
    EXPECT_FALSE(known.isWarm(start + GetParam().lastCold));
    EXPECT_TRUE(known.isWarm(start + GetParam().firstWarm));
}

INSTANTIATE_TEST_SUITE_P(
    rows, warmth,
    testing::Values(warmth_row {"a_start_is_ignored", [](endpoint_warmth &known) { known.presumeCold(start, period); },
                                3999ms, 4s},
                    warmth_row {"a_shorter_report_ends_the_cold_start",
                                [](endpoint_warmth &known) {
                                    known.presumeCold(start, period);
                                    known.presumeCold(start + 1s, 500ms);
                                },
                                3999ms, 4s},
                    warmth_row {"an_endpoint_that_went_dark_is_warm_when_it_is_back",
                                [](endpoint_warmth &known) {
                                    known.onSilence(start);
                                    known.onResponse(start + 4500ms, period);
                                },
                                8499ms, 8500ms},
                    warmth_row {"the_cold_start_of_one_that_is_still_dark_runs_out",
                                [](endpoint_warmth &known) { known.onSilence(start); }, 9999ms, 10s},
                    warmth_row {"a_late_failure_of_an_earlier_request_ends_it",
                                [](endpoint_warmth &known) {
                                    known.onSilence(start);
                                    known.onSilence(start + 2s);
                                },
                                11999ms, 12s},
                    warmth_row {"a_return_that_was_reported_leaves_it_silent",
                                [](endpoint_warmth &known) {
                                    known.onSilence(start);
                                    known.onReturn(start + 2s, period);
                                },
                                5999ms, 6s}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(endpoint_warmth, isUnknownAtFirst)
{
    endpoint_warmth unknown;
    EXPECT_FALSE(unknown.isWarm(start));
    EXPECT_FALSE(unknown.isWarm(start + 24h));
    unknown.presumeCold(start, period);
    EXPECT_TRUE(unknown.isWarm(start + period));
}

TEST(endpoint_warmth, isNotLostByResponses)
{
    endpoint_warmth known;
    known.setWarm();
    known.onResponse(start, period);
    EXPECT_TRUE(known.isWarm(start));
}

// A fleet that shrank for good would waste its bounds for ever; a cut that lasts a minute must not be taken for that.
TEST(recent_peak, isForgottenAfterSomeMinutes)
{
    recent_peak peak;
    peak.record(60, start);
    peak.record(30, start + 90s);
    EXPECT_EQ(peak.value(), 60);
    peak.record(30, start + 130s);
    EXPECT_EQ(peak.value(), 60);
    peak.record(30, start + 250s);
    EXPECT_EQ(peak.value(), 30);
    peak.record(20, start + 900s);
    EXPECT_EQ(peak.value(), 20);
}

} // namespace

} // namespace bronzechute
