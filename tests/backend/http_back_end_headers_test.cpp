#include "backend/http_back_end.h"
#include "recording_sink.h"
#include "standins/raw_server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>

namespace bronzechute {
namespace {

using standins::raw_connection;
using standins::recording_sink;

constexpr auto engineKind = http_back_end_options::kind::engine;

struct header_row
{
    const char *name; ///< The failure that the row guards against.
    header_list headers;
    std::string lowerCase; ///< Searched for in the head that the peer receives.
    bool expected;
};

const std::vector<header_row> headerRows = {
    {"content_type_lost", {{"Content-Type", "application/json"}}, "content-type: application/json", true},
    {"custom_field_lost", {{"X-Request-Id", "r1"}}, "x-request-id: r1", true},
    {"empty_field_lost", {{"X-Empty", ""}}, "x-empty:", true},
    {"keep_alive_forwarded", {{"Keep-Alive", "timeout=5"}}, "keep-alive", false},
    {"transfer_encoding_forwarded", {{"TE", "trailers"}}, "te: ", false},
    {"upgrade_forwarded", {{"Upgrade", "h2c"}}, "h2c", false},
    {"named_field_forwarded", {{"Connection", "close, X-Hop"}, {"X-Hop", "1"}}, "x-hop", false},
    {"callers_host_forwarded", {{"Host", "example.org"}}, "example.org", false},
    {"proxy_password_forwarded", {{"Proxy-Authorization", "secret"}}, "secret", false},
    {"field_injected", {{"X-A", "1\r\nX-B: 2"}}, "x-b", false},
};

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

class back_end_header : public testing::TestWithParam<header_row>
{
};

TEST_P(back_end_header, ofRequestIsForwardedOrNot)
{
    std::string head;
    standins::raw_server server([&head](raw_connection &connection, int) {
        head = lowerCase(connection.readRequest());
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    http_back_end service({http_back_end_options::kind::service, server.url()}, std::make_shared<transfer_loop>());
    const auto sink = std::make_shared<recording_sink>();
    service.start({"POST", "/", GetParam().headers, "{}"}, sink);
    ASSERT_TRUE(sink->waitForEnd());
    EXPECT_EQ(head.find(GetParam().lowerCase) != std::string::npos, GetParam().expected) << head;
}

TEST_P(back_end_header, ofAnswerIsForwardedOrNot)
{
    std::string text;
    for (const auto &[name, value] : GetParam().headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    standins::raw_server server([&text](raw_connection &connection, int) {
        connection.readRequest();
        connection.send("HTTP/1.1 200 OK\r\n" + text + "Content-Length: 0\r\n\r\n");
    });
    if (GetParam().name == std::string_view("field_injected") || findHeader(GetParam().headers, "Host")) {
        return; // In an answer, "field_injected" is two valid headers, and Host has no meaning.
    }
    http_back_end service({http_back_end_options::kind::service, server.url()}, std::make_shared<transfer_loop>());
    const auto sink = std::make_shared<recording_sink>();
    service.start({"GET", "/", {}, ""}, sink);
    ASSERT_TRUE(sink->waitForEnd());
    std::string received;
    for (const auto &[name, value] : sink->headers()) {
        received.append(name).append(": ").append(value).append("\n");
    }
    EXPECT_EQ(lowerCase(received).find(GetParam().lowerCase) != std::string::npos, GetParam().expected) << received;
}

INSTANTIATE_TEST_SUITE_P(rows, back_end_header, testing::ValuesIn(headerRows),
                         [](const auto &row) { return std::string(row.param.name); });

struct priority_row
{
    const char *name; ///< The failure that the row guards against.
    http_back_end_options::kind kind;
    int priority;
    std::string sent;
    std::string received;
};

class back_end_priority : public testing::TestWithParam<priority_row>
{
};

TEST_P(back_end_priority, reachesTheEngine)
{
    std::string received;
    standins::raw_server server([&received](raw_connection &connection, int) {
        const std::string request = connection.readRequest();
        received = request.substr(request.find("\r\n\r\n") + 4);
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    http_back_end engine({GetParam().kind, server.url()}, std::make_shared<transfer_loop>());
    const auto sink = std::make_shared<recording_sink>();
    engine.start({"POST", "/", {}, GetParam().sent, GetParam().priority}, sink);
    ASSERT_TRUE(sink->waitForEnd());
    EXPECT_EQ(received, GetParam().received);
}

INSTANTIATE_TEST_SUITE_P(
    rows, back_end_priority,
    testing::Values(priority_row {"highest_not_first", engineKind, 9, R"({"a":1})", R"({"a":1,"priority":0})"},
                    priority_row {"callers_value_wins", engineKind, 2, R"({"priority":0} )",
                                  R"({"priority":0,"priority":7} )"},
                    priority_row {"empty_object_broken", engineKind, 0, "{ }", R"({ "priority":9})"},
                    priority_row {"other_body_changed", engineKind, 0, "[1]", "[1]"},
                    priority_row {"service_body_changed", http_back_end_options::kind::service, 0, "{}", "{}"}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
