#include "standins/gateway_site.h"
#include "standins/http_fetch.h"
#include "standins/local_system.h"
#include "standins/site_document.h"
#include "standins/site_request.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace bronzechute::standins {

namespace {

using namespace std::chrono_literals;

// As in the settings of gateway_site.
constexpr std::chrono::milliseconds window = 10s;
constexpr double retryShare = 0.2;
constexpr double fixedRetries = 90;

const std::vector<std::string> gateways {"gateway-1", "gateway-2", "gateway-3"};
const std::vector<std::string> endpoints {"office-1", "office-2", "office-3", "office-4", "office-5", "office-6"};

/** Three gateways before endpoints that fail many requests after they have run them. */
class failing_site : public testing::Test
{
protected:
    failing_site()
    {
        m_site.startStore();
        m_site.put("op/config", siteDocument(1));
        for (const std::string &name : endpoints) {
            m_site.startEndpoint(name, site_names::plainService, "here", {"--slots", "30"});
        }
        for (const std::string &name : gateways) {
            m_site.startGateway(name, "here");
            m_urls.push_back(m_site.url(name));
        }
        for (const std::string &name : gateways) {
            EXPECT_TRUE(m_site.waitReady(name));
        }
    }

    void send(std::size_t gateway, const std::string &id)
    {
        fetch_request request = siteRequest(m_urls.at(gateway) + "/read/1", id, 2500ms);
        request.timeout = 3s;
        fetch(request);
    }

    /** Sends to all gateways in turn until the end. @returns the number of requests */
    int sendUntil(time_point end)
    {
        constexpr std::chrono::milliseconds interval {20};
        std::vector<std::jthread> callers;
        int sent = 0;
        for (; boot_clock::now() < end; ++sent) {
            callers.emplace_back([this, sent] {
                send(static_cast<std::size_t>(sent) % gateways.size(), "request-" + std::to_string(sent));
            });
            std::this_thread::sleep_for(interval);
        }
        return sent;
    }

    /** @returns the arrivals at endpoints beyond the first one of each request. */
    int repeats()
    {
        std::map<std::string, int> arrivals;
        for (const std::string &endpoint : endpoints) {
            const nlohmann::json stats = m_site.stats(endpoint);
            for (const auto &[id, count] : stats.at("runs").items()) {
                arrivals[id] += count.get<int>();
            }
        }
        int beyond = 0;
        for (const auto &[id, count] : arrivals) {
            beyond += count - 1;
        }
        return beyond;
    }

    gateway_site m_site;
    std::vector<std::string> m_urls;
};

// Guards against budgets that a gateway has anew after each start.
TEST_F(failing_site, keepsToTheRetryBudgetWhileAllGatewaysAreKilledAgainAndAgain)
{
    std::this_thread::sleep_for(window); // All gateways have run for a whole window.
    for (const std::string &name : endpoints) {
        m_site.inject(name, {{"fail", 0.7}});
    }
    const time_point begin = boot_clock::now();
    std::atomic<int> sent {0};
    std::jthread callers([&] { sent = sendUntil(begin + window - 3s); });
    for (const std::chrono::milliseconds at : {1500ms, 3000ms, 4500ms}) {
        std::this_thread::sleep_until(begin + at);
        for (const std::string &name : gateways) {
            m_site.process(name).kill();
        }
        for (const std::string &name : gateways) {
            m_site.restartGateway(name);
        }
    }
    callers.join();
    ASSERT_LT(boot_clock::now() - begin, window); // So that all of it lies in one window.
    EXPECT_GT(sent, 0);
    const int repeated = repeats();
    std::cout << repeated << " repeats of " << sent << " requests\n";
    EXPECT_LE(repeated, retryShare * sent + fixedRetries);
}

} // namespace

} // namespace bronzechute::standins
