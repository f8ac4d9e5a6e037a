#include "http/curl_http_client.h"
#include "http/http_stream_reader.h"
#include "standins/odd_answer.h"
#include "standins/raw_server.h"
#include "standins/scripted_server.h"

#include <gtest/gtest.h>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

class odd_response : public testing::TestWithParam<standins::odd_answer>
{
protected:
    standins::scripted_server m_server {[](const standins::scripted_request &, standins::raw_connection &connection) {
        connection.send(GetParam().statusLine + "\r\n" + GetParam().fields + "\r\n" + GetParam().body);
        return false;
    }};

    http_call call() const
    {
        http_call call;
        call.url = "http://" + m_server.address() + "/";
        call.timeout = 5000ms;
        return call;
    }
};

// What a store in trouble sends must not be taken for its answer.
TEST_P(odd_response, isNoResponseOfACall)
{
    curl_http_client client;
    const auto answered = client.perform(call());
    ASSERT_FALSE(answered) << "status " << answered.value().status << " body " << answered.value().body;
    EXPECT_EQ(answered.error().code, errc::outcome_unknown);
}

TEST_P(odd_response, isNoResponseOfAStream)
{
    http_stream_reader reader;
    std::string received;
    const auto ended = reader.run(call(), 5000ms, [&received](std::string_view bytes) {
        received += bytes;
        return true;
    });
    EXPECT_FALSE(ended);
    EXPECT_EQ(received, "");
}

INSTANTIATE_TEST_SUITE_P(rows, odd_response, testing::ValuesIn(standins::oddAnswers()),
                         [](const auto &row) { return row.param.name; });

// The error of the connection may be reported to the write alone; what was read must not look complete.
TEST(reset_response, isNoResponseWhileTheRequestIsBeingSent)
{
    constexpr std::size_t uploadBytes = std::size_t {24} * 1024 * 1024;
    constexpr int calls = 6;
    standins::raw_server server(
        [](standins::raw_connection &connection, int) { standins::sendPartAndReset(connection); });
    for (int index = 0; index < calls; ++index) {
        curl_http_client client;
        http_call call;
        call.method = "POST";
        call.url = server.url();
        call.body.assign(uploadBytes, 'u');
        call.timeout = 5000ms;
        EXPECT_FALSE(client.perform(call)) << index;
    }
}

} // namespace

} // namespace bronzechute
