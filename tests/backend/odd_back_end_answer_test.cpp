#include "backend/http_back_end.h"
#include "recording_sink.h"
#include "standins/odd_answer.h"
#include "standins/raw_server.h"

#include <gtest/gtest.h>

namespace bronzechute {

namespace {

class odd_back_end_answer : public testing::TestWithParam<standins::odd_answer>
{
};

// Bytes that break the rules of HTTP must not reach a caller as an answer, neither as they are nor read leniently.
TEST_P(odd_back_end_answer, isReportedAsAFailure)
{
    standins::raw_server server([](standins::raw_connection &connection, int) {
        connection.readRequest();
        connection.send(GetParam().statusLine + "\r\n" + GetParam().fields + "\r\n" + GetParam().body);
    });
    http_back_end service({http_back_end_options::kind::service, server.url()}, std::make_shared<transfer_loop>());
    back_end_request request;
    request.method = "POST";
    request.path = "/";
    request.body = "{}";
    const auto sink = std::make_shared<standins::recording_sink>();
    service.start(request, sink);
    ASSERT_TRUE(sink->waitForEnd());
    EXPECT_EQ(sink->calls(), "f") << sink->status() << ' ' << sink->body();
    EXPECT_TRUE(sink->mayHaveRun());
}

INSTANTIATE_TEST_SUITE_P(rows, odd_back_end_answer, testing::ValuesIn(standins::oddAnswers()),
                         [](const auto &row) { return row.param.name; });

// The error of the connection may be reported to the write alone; what was read must not look complete.
TEST(reset_back_end_answer, isReportedAsAFailureWhileTheRequestIsBeingSent)
{
    constexpr std::size_t uploadBytes = std::size_t {24} * 1024 * 1024;
    constexpr int calls = 6;
    standins::raw_server server(
        [](standins::raw_connection &connection, int) { standins::sendPartAndReset(connection); });
    http_back_end service({http_back_end_options::kind::service, server.url()}, std::make_shared<transfer_loop>());
    for (int index = 0; index < calls; ++index) {
        back_end_request request;
        request.method = "POST";
        request.path = "/";
        request.body.assign(uploadBytes, 'u');
        const auto sink = std::make_shared<standins::recording_sink>();
        service.start(request, sink);
        ASSERT_TRUE(sink->waitForEnd());
        EXPECT_TRUE(sink->failure()) << index;
    }
}

} // namespace

} // namespace bronzechute
