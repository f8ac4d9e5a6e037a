#include "standins/forwarder.h"
#include "standins/http_fetch.h"
#include "standins/plain_service.h"

#include <gtest/gtest.h>

namespace bronzechute::standins {
namespace {

using namespace std::chrono_literals;

struct forwarder_row
{
    const char *name; ///< The failure that the row guards against.
    const char *faults;
    CURLcode first; ///< Of the first request after the faults are set.
    CURLcode second;
};

class forwarder_fault : public testing::TestWithParam<forwarder_row>
{
};

TEST_P(forwarder_fault, showsOnTheRightConnections)
{
    auto service = plain_service::start({});
    ASSERT_TRUE(service);
    forwarder_options options;
    options.targetPort = service.value()->port();
    auto started = forwarder::start(options);
    ASSERT_TRUE(started);
    ASSERT_EQ(started.value()->apply(GetParam().faults), "");
    fetch_request request;
    request.url = "http://127.0.0.1:" + std::to_string(started.value()->port()) + "/orders";
    request.timeout = GetParam().first == CURLE_OPERATION_TIMEDOUT ? 500ms : 20000ms;
    EXPECT_EQ(fetch(request).code, GetParam().first);
    request.timeout = GetParam().second == CURLE_OPERATION_TIMEDOUT ? 500ms : 20000ms;
    EXPECT_EQ(fetch(request).code, GetParam().second);
}

INSTANTIATE_TEST_SUITE_P(
    rows, forwarder_fault,
    testing::Values(forwarder_row {"bytes_lost", "{}", CURLE_OK, CURLE_OK},
                    forwarder_row {"delay_breaks_requests", R"({"delay_ms": 50})", CURLE_OK, CURLE_OK},
                    forwarder_row {"new_connections_silent_too", R"({"silent_after_bytes": 10, "next_connections": 1})",
                                   CURLE_OPERATION_TIMEDOUT, CURLE_OK},
                    forwarder_row {"held_answer_arrives", R"({"pause_down": true})", CURLE_OPERATION_TIMEDOUT,
                                   CURLE_OPERATION_TIMEDOUT},
                    forwarder_row {"held_request_arrives", R"({"pause_up": true})", CURLE_OPERATION_TIMEDOUT,
                                   CURLE_OPERATION_TIMEDOUT},
                    forwarder_row {"silence_ends", R"({"silence_new": true})", CURLE_OPERATION_TIMEDOUT,
                                   CURLE_OPERATION_TIMEDOUT}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against a refused connection that reaches the target all the same. Which error the client sees depends on
// whether it sends before or after the close.
TEST(forwarder, refusedConnectionDoesNotReachTheTarget)
{
    auto service = plain_service::start({});
    ASSERT_TRUE(service);
    forwarder_options options;
    options.targetPort = service.value()->port();
    auto started = forwarder::start(options);
    ASSERT_TRUE(started);
    const std::string url = "http://127.0.0.1:" + std::to_string(started.value()->port()) + "/orders";
    ASSERT_EQ(started.value()->apply(R"({"refuse_new": true})"), "");
    EXPECT_NE(postJson(url, R"({"text": "a"})").code, CURLE_OK);
    EXPECT_EQ(service.value()->orders().version(), 0U);
    ASSERT_EQ(started.value()->apply(R"({"refuse_new": false})"), "");
    EXPECT_EQ(postJson(url, R"({"text": "a"})").status, 201);
    EXPECT_EQ(service.value()->orders().version(), 1U);
}

} // namespace
} // namespace bronzechute::standins
