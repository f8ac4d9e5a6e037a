#include "http/curl_http_client.h"
#include "http/http_server.h"
#include "http/http_stream_reader.h"
#include "standins/reserved_port.h"

#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <thread>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;

/** Sends one byte, then ends the body, truncates it or sends nothing more. */
class ending_source : public body_source
{
public:
    ending_source(ssize_t ending, const std::atomic<bool> &stop) : m_ending(ending), m_stop(stop)
    {
    }

    ssize_t read(char *buffer, std::size_t) override
    {
        if (!m_sent) {
            m_sent = true;
            buffer[0] = 'x';
            return 1;
        }
        while (m_ending == 0 && !m_stop) {
            std::this_thread::sleep_for(5ms);
        }
        return m_ending == 0 ? broken : m_ending;
    }

    void onClosed() override
    {
    }

private:
    const ssize_t m_ending;
    const std::atomic<bool> &m_stop;
    bool m_sent = false;
};

class test_handler : public http_handler
{
public:
    http_reply handle(const http_request &request) override
    {
        {
            const std::scoped_lock lock(m_mutex);
            peers.insert(request.peer);
        }
        ++handled;
        if (request.path == "/cut") {
            return {200, {}, {}, std::make_shared<ending_source>(body_source::broken, stop)};
        }
        if (request.path == "/silent") {
            return {200, {}, {}, std::make_shared<ending_source>(0, stop)};
        }
        if (request.path == "/whole") {
            return {200, {}, {}, std::make_shared<ending_source>(body_source::endOfBody, stop)};
        }
        if (request.path == "/refused") {
            return {503, {}, "busy", nullptr};
        }
        return {200, {{"X-Method", request.method}}, request.body, nullptr};
    }

    std::atomic<bool> stop {false};
    std::atomic<int> handled {0};
    std::set<std::string> peers;

private:
    std::mutex m_mutex;
};

/** A server that ends its blocked responses before it is destroyed. */
struct running_server
{
    running_server() : server(std::move(http_server::start({}, handler).value()))
    {
    }

    ~running_server()
    {
        handler.stop = true;
    }

    std::string url(const std::string &path) const
    {
        return "http://127.0.0.1:" + std::to_string(server->port()) + path;
    }

    test_handler handler;
    std::unique_ptr<http_server> server;
};

struct client_row
{
    const char *name; ///< The failure that the row guards against.
    const char *path;
    bool listening;
    std::string body;
    int status; ///< 0 when the call fails.
    errc code;
};

class curl_http_client_calls : public testing::TestWithParam<client_row>
{
};

TEST_P(curl_http_client_calls, tellWhetherTheRequestMayHaveArrived)
{
    running_server running;
    const standins::reserved_port unreachable;
    curl_http_client client(4, 1024);
    const client_row &row = GetParam();
    http_call call;
    call.method = "POST";
    call.url = row.listening ? running.url(row.path) : "http://" + unreachable.address() + row.path;
    call.body = row.body;
    call.timeout = 300ms;
    const auto response = client.perform(call);
    ASSERT_EQ(static_cast<bool>(response), row.status != 0);
    if (response) {
        EXPECT_EQ(response.value().status, row.status);
    } else {
        EXPECT_EQ(response.error().code, row.code) << response.error().toString();
    }
}

INSTANTIATE_TEST_SUITE_P(
    rows, curl_http_client_calls,
    testing::Values(client_row {"answer_lost", "/a", true, "body", 200, {}},
                    client_row {"error_status_taken_for_failure", "/refused", true, "", 503, {}},
                    client_row {"refused_connection_seen_as_sent", "/a", false, "", 0, errc::unavailable},
                    client_row {"cut_answer_seen_as_not_sent", "/cut", true, "", 0, errc::outcome_unknown},
                    client_row {"silence_seen_as_not_sent", "/silent", true, "", 0, errc::outcome_unknown},
                    client_row {"answer_without_limit", "/a", true, std::string(4096, 'a'), 0, errc::too_large}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(curl_http_client, reusesItsConnection)
{
    running_server running;
    curl_http_client client;
    http_call call;
    call.url = running.url("/a");
    for (int count = 0; count < 5; ++count) {
        ASSERT_TRUE(client.perform(call));
    }
    EXPECT_EQ(running.handler.peers.size(), 1U);
}

TEST(curl_http_client, threadsDoNotMixAnswers)
{
    running_server running;
    curl_http_client client(2);
    std::atomic<int> wrong {0};
    std::vector<std::thread> threads;
    threads.reserve(6);
    for (int thread = 0; thread < 6; ++thread) {
        threads.emplace_back([&, thread] {
            for (int count = 0; count < 50; ++count) {
                http_call call;
                call.method = "PUT";
                call.url = running.url("/a");
                call.body = std::to_string(thread) + "/" + std::to_string(count);
                const auto response = client.perform(call);
                if (!response || response.value().body != call.body
                    || findHeader(response.value().headers, "x-method") != "PUT") {
                    ++wrong;
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    EXPECT_EQ(wrong, 0);
}

struct stream_row
{
    const char *name; ///< The failure that the row guards against.
    const char *path;
    bool whole;
    errc code;
};

class http_stream_reader_ends : public testing::TestWithParam<stream_row>
{
};

TEST_P(http_stream_reader_ends, asTheServerEnded)
{
    running_server running;
    http_stream_reader reader;
    http_call call;
    call.url = running.url(GetParam().path);
    const auto ended = reader.run(call, 200ms, [](std::string_view) { return true; });
    ASSERT_EQ(static_cast<bool>(ended), GetParam().whole);
    if (!ended) {
        EXPECT_EQ(ended.error().code, GetParam().code) << ended.error().toString();
    }
}

INSTANTIATE_TEST_SUITE_P(rows, http_stream_reader_ends,
                         testing::Values(stream_row {"end_seen_as_failure", "/whole", true, {}},
                                         stream_row {"cut_seen_as_end", "/cut", false, errc::unavailable},
                                         stream_row {"error_status_seen_as_data", "/refused", false, errc::unavailable},
                                         stream_row {"silence_not_found", "/silent", false, errc::timed_out}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(http_stream_reader, stopEndsASilentTransfer)
{
    running_server running;
    http_stream_reader reader;
    http_call call;
    call.url = running.url("/silent");
    std::thread stopper;
    const auto ended = reader.run(call, 20s, [&](std::string_view) {
        stopper = std::thread([&reader] { reader.stop(); });
        return true;
    });
    stopper.join();
    ASSERT_FALSE(ended);
    EXPECT_EQ(ended.error().code, errc::cancelled);
}

} // namespace
} // namespace bronzechute
