#include "http/http_server.h"

#include <curl/curl.h>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace bronzechute {
namespace {

/** Sends a number of one-byte blocks, then returns the given ending. */
class scripted_source : public body_source
{
public:
    scripted_source(int blocks, ssize_t ending, std::atomic<int> &closed)
        : m_blocks(blocks), m_ending(ending), m_closed(closed)
    {
    }

    ssize_t read(char *buffer, std::size_t) override
    {
        if (m_blocks-- > 0) {
            buffer[0] = 'x';
            return 1;
        }
        return m_ending;
    }

    void onClosed() override
    {
        ++m_closed;
    }

private:
    int m_blocks;
    ssize_t m_ending;
    std::atomic<int> &m_closed;
};

class scripted_handler : public http_handler
{
public:
    http_reply handle(const http_request &request) override
    {
        if (request.bodyTooLarge) {
            return {413, {}, "too large", nullptr};
        }
        if (request.path == "/whole") {
            return {200, {}, {}, std::make_shared<scripted_source>(3, body_source::endOfBody, closed)};
        }
        if (request.path == "/cut") {
            return {200, {}, {}, std::make_shared<scripted_source>(3, body_source::broken, closed)};
        }
        return {200, {{"X-Query", request.query}}, request.method + " " + request.path + " " + request.body, nullptr};
    }

    std::atomic<int> closed {0};
};

struct curl_response
{
    CURLcode code = CURLE_OK;
    long status = 0;
    std::string body;
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *body)
{
    static_cast<std::string *>(body)->append(data, size * count);
    return size * count;
}

curl_response fetch(std::uint16_t port, const std::string &path, const std::string &body, const char *contentType)
{
    curl_response received;
    CURL *curl = curl_easy_init();
    const std::string url = "http://127.0.0.1:" + std::to_string(port) + path;
    curl_slist *headers = curl_slist_append(nullptr, (std::string("Content-Type: ") + contentType).c_str());
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &received.body);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT, 20L);
    if (!body.empty()) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    received.code = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &received.status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    return received;
}

struct server_row
{
    const char *name; ///< The failure that the row guards against.
    std::string path;
    std::string body;
    const char *contentType;
    CURLcode code;
    long status;
    std::string responseBody;
};

class http_server_answers : public testing::TestWithParam<server_row>
{
};

TEST_P(http_server_answers, asExpected)
{
    scripted_handler handler;
    http_server_options options;
    options.bodyLimit = 64;
    auto server = http_server::start(options, handler);
    ASSERT_TRUE(server) << server.error().toString();
    const server_row &row = GetParam();
    const curl_response received = fetch(server.value()->port(), row.path, row.body, row.contentType);
    EXPECT_EQ(received.code, row.code);
    EXPECT_EQ(received.status, row.status);
    EXPECT_EQ(received.body, row.responseBody);
}

INSTANTIATE_TEST_SUITE_P(
    rows, http_server_answers,
    testing::Values(server_row {"body_lost", "/a?b=1", "{}", "application/json", CURLE_OK, 200, "POST /a {}"},
                    server_row {"form_body_swallowed", "/a", "x=1&y=2", "application/x-www-form-urlencoded", CURLE_OK,
                                200, "POST /a x=1&y=2"},
                    server_row {"whole_stream_seen_as_cut", "/whole", "", "text/plain", CURLE_OK, 200, "xxx"},
                    server_row {"cut_stream_seen_as_whole", "/cut", "", "text/plain", CURLE_PARTIAL_FILE, 200, "xxx"},
                    server_row {"body_at_limit_refused", "/a", std::string(64, 'a'), "text/plain", CURLE_OK, 200,
                                "POST /a " + std::string(64, 'a')},
                    server_row {"body_over_limit_accepted", "/a", std::string(65, 'a'), "text/plain", CURLE_OK, 413,
                                "too large"}),
    [](const auto &row) { return std::string(row.param.name); });

/** Returns a header that libmicrohttpd writes itself, followed by another header. */
class own_length_handler : public http_handler
{
public:
    http_reply handle(const http_request &) override
    {
        return {200, {{"Content-Length", "2"}, {"X-After", "kept"}}, "ok", nullptr};
    }
};

TEST(http_server, keepsHeadersAfterAContentLength)
{
    own_length_handler handler;
    auto server = http_server::start({}, handler);
    ASSERT_TRUE(server);
    CURL *curl = curl_easy_init();
    std::string received;
    curl_easy_setopt(curl, CURLOPT_URL, ("http://127.0.0.1:" + std::to_string(server.value()->port())).c_str());
    curl_easy_setopt(curl, CURLOPT_HEADER, 1L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &received);
    EXPECT_EQ(curl_easy_perform(curl), CURLE_OK);
    curl_easy_cleanup(curl);
    EXPECT_NE(received.find("X-After: kept"), std::string::npos) << received;
}

TEST(http_server, refusesNewConnectionsOnceQuiesced)
{
    scripted_handler handler;
    auto server = http_server::start({}, handler);
    ASSERT_TRUE(server);
    server.value()->quiesce();
    EXPECT_EQ(fetch(server.value()->port(), "/a", "", "text/plain").code, CURLE_COULDNT_CONNECT);
}

TEST(http_server, reportsAnAddressInUse)
{
    scripted_handler handler;
    auto first = http_server::start({}, handler);
    ASSERT_TRUE(first);
    http_server_options options;
    options.port = first.value()->port();
    auto second = http_server::start(options, handler);
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().code, errc::unavailable);
}

} // namespace
} // namespace bronzechute
