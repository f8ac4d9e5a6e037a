#include "gateway_harness.h"
#include "scripted_answers.h"

#include <gtest/gtest.h>

namespace bronzechute {

namespace {

struct cut_head_row
{
    const char *name; ///< Failure that the row guards against.
    const char *method;
    const char *path;
};

class cut_head : public testing::TestWithParam<cut_head_row>
{
};

TEST_P(cut_head, isNeverPassedOnAsASuccess)
{
    std::size_t length = 0;
    std::size_t whole = 1;
    standins::scripted_server only(
        [&](const standins::scripted_request &request, standins::raw_connection &connection) {
            const std::string head =
                GetParam().path == std::string("/stream/x") ? streamHead(request) : answerTo(request, "");
            whole = head.size();
            connection.send(head.substr(0, length));
            return false;
        });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    for (length = 0; length < whole; length += 25) {
        const std::string id = "e" + std::to_string(length); // One that has not failed yet.
        gateway.addEndpoint(id, only.address());
        EXPECT_GE(gateway.request(GetParam().method, GetParam().path, callerHeaders).status, 500) << length;
        gateway.removeEndpoint(id);
    }
}

INSTANTIATE_TEST_SUITE_P(rows, cut_head,
                         testing::Values(cut_head_row {"read_gets_an_empty_success", "GET", "/read/x"},
                                         cut_head_row {"order_gets_an_empty_success", "POST", "/order/x"},
                                         cut_head_row {"stream_gets_an_empty_success", "POST", "/stream/x"}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace

} // namespace bronzechute
