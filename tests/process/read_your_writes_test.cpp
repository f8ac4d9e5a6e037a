#include "standins/http_fetch.h"
#include "standins/local_system.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace bronzechute::standins {
namespace {

/** Two order books that share nothing, behind two entries. */
class read_your_writes : public testing::Test
{
protected:
    void SetUp() override
    {
        m_system.startStore();
        m_system.startService("office-1", "buda");
        m_system.startService("office-2", "pest");
        m_system.startEntry("entry-1", "buda");
        m_system.startEntry("entry-2", "pest", {{"entry-1"}, "store", {}});
        m_system.apply(local_system::exampleConfiguration());
        ASSERT_TRUE(m_system.waitReady("entry-1", 2));
        ASSERT_TRUE(m_system.waitReady("entry-2", 2));
    }

    fetch_answer readOrders(const std::string &entry, const std::string &session)
    {
        fetch_request request;
        request.url = m_system.url(entry) + "/orders";
        request.headers = {{"Authorization", "Bearer example-office-key"}};
        if (!session.empty()) {
            request.headers.emplace_back("X-Bronzechute-Session", session);
        }
        return fetch(request);
    }

    local_system m_system;
};

TEST_F(read_your_writes, showsTheWriteThroughEveryEntryWithTheSession)
{
    const fetch_answer booked = m_system.order("entry-1", "envelopes");
    ASSERT_EQ(booked.status, 201) << booked.body;
    const std::string session = findHeader(booked.headers, "X-Bronzechute-Session").value_or("");
    ASSERT_FALSE(session.empty());
    for (int read = 0; read < 20; ++read) {
        for (const char *entry : {"entry-1", "entry-2"}) {
            const fetch_answer answer = readOrders(entry, session);
            ASSERT_EQ(answer.status, 200) << answer.body;
            EXPECT_NE(answer.body.find("envelopes"), std::string::npos) << entry << ": " << answer.body;
        }
    }
}

TEST_F(read_your_writes, showsTheWriteWithoutASessionOnceEntriesHaveTold)
{
    ASSERT_EQ(m_system.order("entry-1", "envelopes").status, 201);
    const auto shown = [this](const char *entry) {
        return readOrders(entry, "").body.find("envelopes") != std::string::npos;
    };
    EXPECT_TRUE(shown("entry-1"));
    // The other entry learns by a frame that follows the answer; from then on it never shows less.
    ASSERT_TRUE(eventuallyTrue([&] { return shown("entry-2"); }));
    for (int read = 0; read < 20; ++read) {
        EXPECT_TRUE(shown("entry-2"));
    }
}

TEST_F(read_your_writes, failsClearlyWhenTheOnlyWorkerThatKnowsIsDead)
{
    const fetch_answer booked = m_system.order("entry-1", "envelopes");
    const std::string session = findHeader(booked.headers, "X-Bronzechute-Session").value_or("");
    const std::string worker = session.substr(0, session.find(';'));
    m_system.process(worker).kill();
    ASSERT_TRUE(eventuallyTrue([&] {
        const fetch_answer answer = readOrders("entry-2", session);
        return answer.status == 503 && answer.body.find("stale_read") != std::string::npos;
    }));
    const fetch_answer fresh = readOrders("entry-2", "new");
    EXPECT_EQ(fresh.status, 200) << fresh.body;
}

} // namespace
} // namespace bronzechute::standins
