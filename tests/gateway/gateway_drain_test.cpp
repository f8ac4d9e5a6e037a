#include "gateway/gateway_drain.h"

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>

#include <string>
#include <thread>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

/** Records the calls of a drain; a number of requests are in progress until they are ended. */
class recorded_service : public drained_service
{
public:
    void beginDrain() override
    {
        calls.emplace_back("begin");
    }

    void stopTaking() override
    {
        calls.emplace_back("stop taking");
    }

    std::size_t inProgress() override
    {
        return requests;
    }

    void endRequests() override
    {
        calls.emplace_back("end requests");
        requests = 0;
    }

    std::size_t requests = 0;
    std::vector<std::string> calls;
};

struct drain_row
{
    const char *name; ///< Failure that the row guards against.
    std::size_t requests; ///< In progress, without an end.
    bool unfinished;
    std::vector<std::string> calls;
};

class drain_order : public testing::TestWithParam<drain_row>
{
protected:
    static constexpr std::chrono::milliseconds timeout {800};

    drain_order() : m_drain(m_loop, m_service), m_thread([this] { m_loop.run(); })
    {
    }

    ~drain_order() override
    {
        m_work.reset();
    }

    boost::asio::io_context m_loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work {m_loop.get_executor()};
    recorded_service m_service;
    gateway_drain m_drain;
    std::jthread m_thread;
};

TEST_P(drain_order, endsWithinItsTimeAndInOrder)
{
    m_service.requests = GetParam().requests;
    const time_point begin = boot_clock::now();
    EXPECT_EQ(m_drain.run(timeout), !GetParam().unfinished);
    EXPECT_LT(boot_clock::now() - begin, timeout + 100ms);
    EXPECT_EQ(m_service.calls, GetParam().calls);
    exchange_plan plan;
    plan.deadline = begin; // Even one whose time is over.
    EXPECT_FALSE(m_drain.takes(plan, begin)) << "a request is taken after the last look";
}

INSTANTIATE_TEST_SUITE_P(
    rows, drain_order,
    testing::Values(drain_row {"listener_stays_open", 0, false, {"begin", "stop taking"}},
                    drain_row {"callers_hear_nothing", 2, true, {"begin", "stop taking", "end requests"}}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace

} // namespace bronzechute
