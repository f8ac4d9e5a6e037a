#include "base/request_id.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

struct parse_row
{
    const char *name; ///< Failure that the row guards against.
    const char *text;
    bool valid;
};

class request_id_parse : public testing::TestWithParam<parse_row>
{
};

TEST_P(request_id_parse, acceptsOnly32HexDigits)
{
    const auto id = request_id::parse(GetParam().text);
    ASSERT_EQ(id.has_value(), GetParam().valid);
    if (id) {
        EXPECT_EQ(id->toString(), GetParam().text);
    }
}

INSTANTIATE_TEST_SUITE_P(rows, request_id_parse,
                         testing::Values(parse_row {"round_trip_lost", "00112233445566778899aabbccddeeff", true},
                                         parse_row {"short_text_accepted", "0011", false},
                                         parse_row {"non_hex_accepted", "0011223344556677x899aabbccddeeff", false},
                                         parse_row {"empty_accepted", "", false}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
