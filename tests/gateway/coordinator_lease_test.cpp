#include "gateway/coordinator_lease.h"

#include "kv_platform_store.h"
#include "standins/kv_server.h"

#include <gtest/gtest.h>

#include <thread>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const std::string leaseKey = "coordinator";

class coordinators : public testing::Test
{
protected:
    coordinators()
        : m_server(std::move(standins::kv_server::start().value()))
        , m_store("http://127.0.0.1:" + std::to_string(m_server->port()), 1000ms)
    {
    }

    /** Waits for the lease. @returns the term, or 0 if the lease was not acquired within the time */
    static std::int64_t termWithin(const coordinator_lease &lease, std::chrono::milliseconds time)
    {
        const time_point end = boot_clock::now() + time;
        while (lease.term(boot_clock::now()) == 0 && boot_clock::now() < end) {
            std::this_thread::sleep_for(5ms);
        }
        return lease.term(boot_clock::now());
    }

    /** Writes the key under an unexpired lease, as a killed process leaves it behind. */
    void writeAbandonedKey(const std::string &owner)
    {
        const auto lease = m_store.grantLease(60s);
        ASSERT_TRUE(lease);
        ASSERT_TRUE(m_store.compareAndSwap(leaseKey, 0, owner, lease.value()));
    }

    std::unique_ptr<standins::kv_server> m_server;
    platform::kv_platform_store m_store;
};

TEST_F(coordinators, areElectedOneAtATime)
{
    coordinator_lease first(m_store, leaseKey, "node-1", "a");
    first.setCampaigning(true);
    const std::int64_t term = termWithin(first, 3s);
    EXPECT_NE(term, 0);
    coordinator_lease second(m_store, leaseKey, "node-2", "b");
    second.setCampaigning(true);
    EXPECT_EQ(termWithin(second, 1500ms), 0);
    first.stop();
    EXPECT_GT(termWithin(second, 3s), term);
}

TEST_F(coordinators, succeedTheirKilledPredecessorAtOnce)
{
    writeAbandonedKey("node-1/killed");
    coordinator_lease successor(m_store, leaseKey, "node-1", "b");
    EXPECT_NE(termWithin(successor, 1s), 0);
}

TEST_F(coordinators, doNotTakeTheKeyOfAnotherNode)
{
    writeAbandonedKey("node-1/alive");
    coordinator_lease other(m_store, leaseKey, "node-10", "b");
    other.setCampaigning(true);
    EXPECT_EQ(termWithin(other, 1500ms), 0);
}

} // namespace

} // namespace bronzechute
