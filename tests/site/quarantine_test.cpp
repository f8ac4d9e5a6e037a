#include "standins/gateway_site.h"
#include "standins/http_fetch.h"
#include "standins/local_system.h"
#include "standins/site_document.h"
#include "standins/site_request.h"

#include <gtest/gtest.h>

#include <thread>

namespace bronzechute::standins {

namespace {

using namespace std::chrono_literals;

/** Two gateways before engines that end as processes under deadly prompt parts. */
class quarantined_site : public testing::Test
{
protected:
    quarantined_site()
    {
        m_site.startStore();
        m_site.put("op/config", siteDocument(1));
        for (const std::string &name : engines) {
            m_site.startEndpoint(name, site_names::modelService, "here");
            setDeadly(name);
        }
        m_site.startGateway("gateway-1", "here");
        m_site.startGateway("gateway-2", "here");
        EXPECT_TRUE(m_site.waitReady("gateway-1"));
        EXPECT_TRUE(m_site.waitReady("gateway-2"));
        EXPECT_TRUE(eventuallyTrue([this] { return served("gateway-1") && served("gateway-2"); }));
    }

    void setDeadly(const std::string &engine)
    {
        m_site.inject(engine, {{"deadly_parts", {"bad1", "bad2"}}});
    }

    fetch_answer ask(const std::string &gateway, const std::string &prompt)
    {
        fetch_request request =
            siteRequest(m_site.url(gateway) + "/stream/1", "request-" + std::to_string(++m_requests), 2000ms);
        request.method = "POST";
        request.headers.emplace_back("X-Prompt-Prefix", prompt);
        return fetch(request);
    }

    bool served(const std::string &gateway)
    {
        return ask(gateway, "system:40,own:7").status == 200;
    }

    bool refuses(const std::string &gateway, const std::string &part)
    {
        const fetch_answer answer = ask(gateway, "system:40," + part + ":9,own:7");
        return answer.status == 503 && answer.body.find("prompt_part_quarantined") != std::string::npos;
    }

    /** Lets a part end engines, and starts these again, until both gateways refuse it. */
    bool becomesRefused(const std::string &part)
    {
        for (int round = 0; round < 4; ++round) {
            std::thread other([&] { refuses("gateway-2", part); });
            refuses("gateway-1", part);
            other.join();
            for (const std::string &engine : engines) {
                if (m_site.process(engine).waitForExit(0ms)) {
                    m_site.restartEndpoint(engine);
                    setDeadly(engine);
                }
            }
            const std::string line = "\"convictions\":1,";
            const auto isConvicted = [&] {
                const std::string &output = m_site.output("gateway-1");
                return output.find("\"part\":\"" + part + "\"") != std::string::npos
                    && output.find(line) != std::string::npos && refuses("gateway-1", part);
            };
            if (eventuallyTrue(isConvicted, 3s)) {
                return eventuallyTrue([&] { return refuses("gateway-2", part); }, 3s);
            }
        }
        return false;
    }

    const std::vector<std::string> engines {"model-1", "model-2", "model-3", "model-4"};
    gateway_site m_site;
    std::atomic<int> m_requests {0};
};

TEST_F(quarantined_site, staysRefusedThroughRestartsOfGatewaysAndAnOutageOfTheStore)
{
    ASSERT_TRUE(becomesRefused("bad1"));
    EXPECT_TRUE(eventuallyTrue([this] { return served("gateway-1"); }));
    m_site.restartGateway("gateway-2");
    ASSERT_TRUE(m_site.waitReady("gateway-2"));
    EXPECT_TRUE(eventuallyTrue([this] { return refuses("gateway-2", "bad1"); }, 1s)) << "not learned from the peer";
    std::this_thread::sleep_for(2s); // The gateways write the record within a second.
    m_site.inject("store", {{"outage", true}});
    for (int request = 0; request < 10; ++request) {
        EXPECT_TRUE(refuses("gateway-1", "bad1"));
        EXPECT_TRUE(refuses("gateway-2", "bad1"));
        std::this_thread::sleep_for(200ms);
    }
    m_site.inject("store", {{"outage", false}});
    m_site.process("gateway-1").kill();
    m_site.restartGateway("gateway-2");
    m_site.restartGateway("gateway-1");
    ASSERT_TRUE(m_site.waitReady("gateway-1"));
    ASSERT_TRUE(m_site.waitReady("gateway-2"));
    EXPECT_TRUE(refuses("gateway-1", "bad1")) << "not learned from the store";
    EXPECT_TRUE(refuses("gateway-2", "bad1")) << "not learned from the store";
    EXPECT_TRUE(eventuallyTrue([this] { return served("gateway-1") && served("gateway-2"); }));
}

} // namespace

} // namespace bronzechute::standins
