#include "gateway/endpoint_connection.h"
#include "gateway_harness.h"
#include "scripted_answers.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

enum class lie {
    leaves, ///< Each answer says that the endpoint leaves.
    pauses, ///< Each answer asks for an hour.
    by_turns,
};

struct lying_row
{
    const char *name; ///< Failure that the row guards against.
    lie told;
    std::size_t liars; ///< Of three endpoints.
};

constexpr std::size_t endpointCount = 3;
constexpr int requestCount = 30;
// A caller that cannot be served is told at once; a request waits for 1.5 s otherwise.
constexpr std::chrono::milliseconds atOnce {1000};

std::string lyingAnswer(const standins::scripted_request &request, lie told, int number)
{
    const std::string id = "X-Request-Id: " + request.header("x-request-id") + "\r\n";
    if (told == lie::leaves || (told == lie::by_turns && number % 2 == 0)) {
        return "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Leaving: 1\r\nContent-Length: 2\r\n" + id + "\r\nok";
    }
    return "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 3600\r\nContent-Length: 0\r\n" + id + "\r\n";
}

class lying_endpoints : public testing::TestWithParam<lying_row>
{
};

TEST_P(lying_endpoints, areObeyedWhileTheOthersServe)
{
    const lying_row &row = GetParam();
    std::atomic<int> lies {0};
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    std::vector<std::unique_ptr<standins::scripted_server>> servers;
    for (std::size_t index = 0; index < endpointCount; ++index) {
        const bool lying = index < row.liars;
        servers.push_back(std::make_unique<standins::scripted_server>(
            [&, lying](const standins::scripted_request &request, standins::raw_connection &connection) {
                return connection.send(lying ? lyingAnswer(request, row.told, lies++) : answerTo(request, "ok"));
            }));
        gateway.addEndpoint("e" + std::to_string(index), servers.back()->address());
    }
    int served = 0;
    for (int request = 0; request < requestCount; ++request) {
        const time_point begin = boot_clock::now();
        const caller_answer answer = gateway.request("GET", "/read/x", callerHeaders);
        served += answer.status == 200 ? 1 : 0;
        if (answer.status != 200) {
            EXPECT_EQ(answer.status, 503);
            EXPECT_GT(std::stod(answer.header("retry-after")), 0.0);
        }
        EXPECT_LT(boot_clock::now() - begin, atOnce);
    }
    for (std::size_t index = 0; index < row.liars; ++index) {
        EXPECT_LE(servers[index]->requests(), 1);
    }
    if (row.liars < endpointCount) {
        EXPECT_EQ(served, requestCount);
    } else {
        EXPECT_LE(served, static_cast<int>(endpointCount)); // Each endpoint serves one request at most.
    }
}

INSTANTIATE_TEST_SUITE_P(rows, lying_endpoints,
                         testing::Values(lying_row {"one_that_always_leaves", lie::leaves, 1},
                                         lying_row {"one_that_always_asks_for_an_hour", lie::pauses, 1},
                                         lying_row {"two_that_lie_by_turns", lie::by_turns, 2},
                                         lying_row {"all_always_leave", lie::leaves, 3},
                                         lying_row {"all_always_ask_for_an_hour", lie::pauses, 3},
                                         lying_row {"all_lie_by_turns", lie::by_turns, 3}),
                         [](const auto &row) { return std::string(row.param.name); });

// The head of a stream is passed on long before its end, and what it says counts from then on.
TEST(leaving_stream, countsFromItsHead)
{
    std::atomic<bool> released {false};
    std::array<std::atomic<int>, 2> reads {};
    std::atomic<int> speaker {-1};
    const auto serveAs = [&](int number) {
        return [&, number](const standins::scripted_request &request, standins::raw_connection &connection) {
            if (!request.target.starts_with("/stream/")) {
                ++reads.at(static_cast<std::size_t>(number));
                return connection.send(answerTo(request, "ok"));
            }
            std::string head = streamHead(request);
            head.insert(head.size() - 2, "X-Leaving: 1\r\n");
            connection.send(head + chunk(eventWithId(1)));
            speaker = number;
            while (!released) {
                std::this_thread::sleep_for(5ms);
            }
            return connection.send(chunk(eventWithId(2)) + "0\r\n\r\n");
        };
    };
    standins::scripted_server one(serveAs(0));
    standins::scripted_server other(serveAs(1));
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", one.address());
    gateway.addEndpoint("e2", other.address());
    caller_connection caller = gateway.connect();
    caller.send(std::string("POST /stream/x HTTP/1.1\r\nHost: example\r\n") + callerHeaders
                + "Content-Length: 0\r\n\r\n");
    for (int wait = 0; speaker < 0 && wait < 400; ++wait) {
        std::this_thread::sleep_for(5ms);
    }
    const int leaving = speaker;
    std::this_thread::sleep_for(100ms); // The gateway reads the head meanwhile.
    for (int request = 0; leaving >= 0 && request < 20; ++request) {
        EXPECT_EQ(gateway.request("GET", "/read/x", callerHeaders).status, 200);
    }
    released = true;
    ASSERT_GE(leaving, 0);
    EXPECT_EQ(reads.at(static_cast<std::size_t>(leaving)), 0);
    EXPECT_EQ(caller.read().body, eventRange(1, 2)) << "what runs is not ended";
}

/** A request that waits for its connection, and may not be sent any more when it is there. */
class withdrawn_request : public response_observer
{
public:
    void onHead(response_head) override
    {
    }
    void onBody(std::string_view) override
    {
    }
    void onComplete() override
    {
    }
    void onFailure(const exchange_failure &cause) override
    {
        failure = cause;
    }
    bool wantsMore() const override
    {
        return true;
    }
    bool maySend() const override
    {
        return false;
    }

    std::optional<exchange_failure> failure;
};

// The endpoint has said in another answer that it leaves, or that it pauses.
TEST(endpoint_connection, sendsNothingThatMayNotBeSentWhenItIsEstablished)
{
    standins::scripted_server only([](const standins::scripted_request &request, standins::raw_connection &connection) {
        return connection.send(answerTo(request, "ok"));
    });
    boost::asio::io_context loop;
    const auto connection = std::make_shared<endpoint_connection>(loop, only.address());
    const auto request = std::make_shared<withdrawn_request>();
    connection->start("GET /read/x HTTP/1.1\r\nHost: example\r\n\r\n", std::make_shared<const std::string>(), request);
    loop.run_for(2s);
    ASSERT_TRUE(request->failure);
    EXPECT_FALSE(request->failure->sent) << "it can be placed anew";
    EXPECT_EQ(only.requests(), 0);
}

} // namespace

} // namespace bronzechute
