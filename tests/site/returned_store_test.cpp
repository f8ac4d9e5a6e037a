#include "standins/gateway_site.h"
#include "standins/http_fetch.h"
#include "standins/local_system.h"
#include "standins/site_document.h"
#include "standins/site_request.h"

#include <gtest/gtest.h>

#include <array>
#include <thread>

namespace bronzechute::standins {

namespace {

using namespace std::chrono_literals;

/** Two gateways before a store that comes back from a copy. */
class returned_site : public testing::Test
{
protected:
    returned_site()
    {
        m_site.startStore();
        m_site.put("op/config", siteDocument(1));
        m_site.startEndpoint("office-1", site_names::plainService, "here");
        m_site.startEndpoint("office-2", site_names::plainService, "there");
        for (const char *gateway : gateways) {
            m_site.startGateway(gateway, "here");
            EXPECT_TRUE(m_site.waitReady(gateway));
        }
        EXPECT_TRUE(servedByAll("/read/1"));
    }

    long statusOf(const std::string &gateway, const std::string &path)
    {
        const std::string id = "request-" + std::to_string(++m_requests);
        return fetch(siteRequest(m_site.url(gateway) + path, id, 3000ms)).status;
    }

    bool servedByAll(const std::string &path)
    {
        return eventuallyTrue([&] { return statusOf(gateways[0], path) == 200 && statusOf(gateways[1], path) == 200; });
    }

    static constexpr std::array<const char *, 2> gateways {"gateway-1", "gateway-2"};
    gateway_site m_site;
    int m_requests = 0;
};

// Guards against gateways that go back with the store, or do not learn what is written under revisions given out again.
TEST_F(returned_site, keepsWhatWasInForceAndLearnsWhatIsWrittenAgain)
{
    m_site.inject("store", {{"copy", true}});
    m_site.put("op/config", siteDocument(2));
    m_site.put("op/evacuate/there", "{}");
    ASSERT_TRUE(servedByAll("/marker-2/1"));
    const nlohmann::json before = m_site.stats("office-2").at("runs");
    m_site.inject("store", {{"return_from_copy", true}, {"cut_watches", true}});
    std::this_thread::sleep_for(500ms); // The operator writes again a moment later.
    for (const char *gateway : gateways) {
        EXPECT_EQ(statusOf(gateway, "/marker-2/1"), 200) << "version 2 was in force";
    }
    m_site.put("op/evacuate/there", "{}");
    m_site.put("op/config", siteDocument(2));
    m_site.put("op/config", siteDocument(3));
    EXPECT_TRUE(servedByAll("/marker-3/1"));
    for (int request = 0; request < 20; ++request) {
        EXPECT_EQ(statusOf(gateways[0], "/read/1"), 200);
    }
    EXPECT_EQ(m_site.stats("office-2").at("runs"), before) << "a data centre that is out of service got work";
}

} // namespace

} // namespace bronzechute::standins
