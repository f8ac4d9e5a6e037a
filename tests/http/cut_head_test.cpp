#include "http/curl_http_client.h"
#include "standins/scripted_server.h"

#include <gtest/gtest.h>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

// libcurl takes a head that ends with its connection for the whole head of a response without a body.
TEST(cut_head, isNoResponseWhereverItEnds)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n";
    std::size_t length = 0;
    standins::scripted_server server([&](const standins::scripted_request &, standins::raw_connection &connection) {
        connection.send(head.substr(0, length));
        return false;
    });
    for (length = 0; length < head.size(); ++length) {
        curl_http_client client;
        http_call call;
        call.url = "http://" + server.address() + "/";
        call.timeout = 5000ms;
        const auto answered = client.perform(call);
        ASSERT_FALSE(answered) << "status " << answered.value().status << " after " << length << " bytes";
        EXPECT_EQ(answered.error().code, errc::outcome_unknown) << length;
    }
}

} // namespace

} // namespace bronzechute
