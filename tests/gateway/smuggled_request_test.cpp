#include "gateway_harness.h"
#include "scripted_answers.h"

#include <gtest/gtest.h>

namespace bronzechute {

namespace {

struct smuggling_row
{
    const char *name; ///< Failure that the row guards against.
    std::string fields; ///< That say where the body ends.
    const char *version = "HTTP/1.1";
};

class smuggled_request : public testing::TestWithParam<smuggling_row>
{
};

// A body whose end is not known must not be taken for further requests.
TEST_P(smuggled_request, isNotRun)
{
    standins::scripted_server only([](const standins::scripted_request &request, standins::raw_connection &connection) {
        return connection.send(answerTo(request, "booked"));
    });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", only.address());
    caller_connection caller = gateway.connect();
    const std::string inside =
        "POST /order/x HTTP/1.1\r\nHost: example\r\nX-Request-Id: inside\r\nContent-Length: 0\r\n\r\n";
    caller.send(std::string("POST /order/x ") + GetParam().version + "\r\nHost: example\r\nX-Request-Id: outside\r\n"
                + GetParam().fields + "\r\n" + inside);
    EXPECT_EQ(caller.read().status, 400);
    EXPECT_TRUE(caller.endsHere());
    EXPECT_EQ(only.requests(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    rows, smuggled_request,
    testing::Values(smuggling_row {"identity_is_no_body", "Transfer-Encoding: identity\r\n"},
                    smuggling_row {"gzip_is_no_body", "Transfer-Encoding: gzip\r\n"},
                    smuggling_row {"coding_after_chunked_is_no_body", "Transfer-Encoding: chunked, identity\r\n"},
                    smuggling_row {"coding_before_chunked_is_dropped", "Transfer-Encoding: gzip, chunked\r\n"},
                    smuggling_row {"coding_in_a_second_field_is_no_body",
                                   "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"},
                    smuggling_row {"parameter_of_chunked_is_dropped", "Transfer-Encoding: chunked;q=1\r\n"},
                    smuggling_row {"length_beside_a_coding_counts",
                                   "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n"},
                    smuggling_row {"first_of_two_lengths_counts", "Content-Length: 0\r\nContent-Length: 5\r\n"},
                    smuggling_row {"length_with_a_sign_counts", "Content-Length: +0\r\n"},
                    smuggling_row {"coding_in_an_old_version_counts", "Transfer-Encoding: chunked\r\n", "HTTP/1.0"}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace

} // namespace bronzechute
