#include "backend/sse_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace bronzechute {
namespace {

struct sse_row
{
    const char *name; ///< The failure that the row guards against.
    std::string bytes;
    std::vector<sse_event> events;
};

class sse_parser_reads : public testing::TestWithParam<sse_row>
{
};

TEST_P(sse_parser_reads, theSameEventsWhole)
{
    sse_parser parser;
    EXPECT_EQ(parser.feed(GetParam().bytes), GetParam().events);
}

TEST_P(sse_parser_reads, theSameEventsByteByByte)
{
    sse_parser parser;
    std::vector<sse_event> events;
    for (const char byte : GetParam().bytes) {
        const auto more = parser.feed({&byte, 1});
        events.insert(events.end(), more.begin(), more.end());
    }
    EXPECT_EQ(events, GetParam().events);
}

INSTANTIATE_TEST_SUITE_P(
    rows, sse_parser_reads,
    testing::Values(
        sse_row {"event_without_end_delivered", "data: a\n", {}},
        sse_row {"line_feed_not_a_line_end", "data: a\n\ndata: b\n\n", {{"", "a", ""}, {"", "b", ""}}},
        sse_row {"return_not_a_line_end", "data: a\r\rdata: b\r\r", {{"", "a", ""}, {"", "b", ""}}},
        sse_row {"return_and_feed_taken_for_two", "data: a\r\ndata: b\r\n\r\n", {{"", "a\nb", ""}}},
        sse_row {"second_space_removed", "data:  a\n\n", {{"", " a", ""}}},
        sse_row {"comment_delivered", ": ping\n\ndata: a\n\n", {{"", "a", ""}}},
        sse_row {"empty_data_dropped", "data\n\n", {{"", "", ""}}},
        sse_row {"type_kept_for_next_event", "event: x\ndata: a\n\ndata: b\n\n", {{"x", "a", ""}, {"", "b", ""}}},
        sse_row {"id_lost_for_next_event", "id: 7\ndata: a\n\ndata: b\n\n", {{"", "a", "7"}, {"", "b", "7"}}},
        sse_row {"byte_order_mark_in_field_name",
                 "\xEF\xBB\xBF"
                 "data: a\n\n",
                 {{"", "a", ""}}}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(sse_parser, memoryIsBounded)
{
    sse_parser parser(100);
    EXPECT_TRUE(parser.feed("data: " + std::string(200, 'x')).empty());
    EXPECT_TRUE(parser.failed());
}

// Guards against events that depend on how the network splits the stream.
TEST(sse_parser, splitsDoNotMatter)
{
    EXPECT_TRUE(rc::check([] {
        const auto alphabet =
            rc::gen::element<std::string>("data", "event", "id", ":", " ", "\r", "\n", "x", "\xEF\xBB\xBF");
        const auto pieces = *rc::gen::container<std::vector<std::string>>(alphabet);
        std::string bytes;
        for (const std::string &piece : pieces) {
            bytes += piece;
        }
        sse_parser whole;
        const auto expected = whole.feed(bytes);
        sse_parser split;
        std::vector<sse_event> events;
        std::size_t begin = 0;
        while (begin < bytes.size()) {
            const auto count = *rc::gen::inRange<std::size_t>(1, bytes.size() - begin + 1);
            const auto more = split.feed(std::string_view(bytes).substr(begin, count));
            events.insert(events.end(), more.begin(), more.end());
            begin += count;
        }
        RC_ASSERT(events == expected);
    }));
}

} // namespace
} // namespace bronzechute
