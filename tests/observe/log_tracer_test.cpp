#include "observe/log_tracer.h"

#include "observe/trace_context.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

struct traceparent_row
{
    const char *name; ///< Failure that the row guards against.
    std::string header;
    bool valid;
};

class traceparent : public testing::TestWithParam<traceparent_row>
{
};

TEST_P(traceparent, continuesAValidTraceOnly)
{
    const auto tracer = std::make_shared<log_tracer>(1);
    const auto span = startSpan(*tracer, "test", GetParam().header);
    const auto context = trace_context::parse(traceparentOf(*span));
    ASSERT_TRUE(context);
    const bool continued = context->traceId() == "0af7651916cd43dd8448eb211c80319c";
    EXPECT_EQ(continued, GetParam().valid);
    EXPECT_NE(context->spanId(), "b7ad6b7169203331") << "the span has the id of its parent";
}

INSTANTIATE_TEST_SUITE_P(
    rows, traceparent,
    testing::Values(
        traceparent_row {"trace_not_continued", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true},
        traceparent_row {"absent_header_breaks_the_span", "", false},
        traceparent_row {"short_header_accepted", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b71692033-01", false},
        traceparent_row {"unknown_version_accepted", "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false},
        traceparent_row {"zero_span_accepted", "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01", false},
        traceparent_row {"non_hex_accepted", "00-0af7651916cd43dd8448eb211c80319x-b7ad6b7169203331-01", false}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
