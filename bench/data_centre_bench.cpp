// Measures service while a data centre leaves and returns with cold engines, beside naive balancing, with the same
// arrivals and engines (docs/design-data-centre.md).

#include "backend/http_back_end.h"
#include "quantiles.h"
#include "standins/http_fetch.h"
#include "standins/local_system.h"
#include "stream_recorder.h"
#include "work_watch.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <random>

DEFINE_uint64(seed, 1, "first seed of arrivals and prompts");
DEFINE_int32(seeds, 3, "number of seeds");
DEFINE_double(rate, 40, "requests a second");
DEFINE_int32(tokens, 20, "tokens of each answer");
DEFINE_int32(warm_s, 6, "seconds of load before the measurement, for the cold start of the whole system");
DEFINE_int32(in_s, 4, "measured seconds before the data centre is taken out");
DEFINE_int32(out_s, 8, "seconds for which it is out; its engines turn cold when half of them are over");
DEFINE_int32(back_s, 10, "measured seconds after its return");
DEFINE_double(naive_lag_s, 2, "naive: seconds until the balancer follows a change");

namespace bronzechute::bench {
namespace {

using standins::local_system;
using seconds = std::chrono::duration<double>;
using milliseconds = std::chrono::duration<double, std::milli>;

const std::vector<std::string> buda {"model-1", "model-2"};
const std::vector<std::string> pest {"model-3", "model-4"};

/** Requests of the cold phase of an engine, and the batch that it bears meanwhile. */
constexpr int coldRequests = 30;
constexpr const char *coldLimit = "4";
constexpr milliseconds firstTokenTarget {1600};
constexpr std::chrono::seconds answerLimit {30};

/** What one run shows. */
struct outcome
{
    std::size_t requests = 0;
    std::size_t inTime = 0; ///< Whole, the first token within the target.
    std::size_t refused = 0; ///< An answer other than 200, before any token.
    std::size_t cut = 0; ///< Began and did not get whole.
    std::vector<double> firstToken; ///< ms
    double longestGap = 0; ///< ms between two tokens of one answer
    double lastWork = 0; ///< Seconds from the operators' change to the last new request in the data centre.
    std::int64_t fallOvers = 0;
};

struct sent_request
{
    std::shared_ptr<stream_recorder> recorder;
    bool measured;
};

/** One system and one load; naive load goes to the engines without the system. */
class data_centre_run
{
public:
    data_centre_run(bool naive, std::uint64_t seed) : m_naive(naive), m_random(seed)
    {
        m_system.startStore();
        for (const auto &[names, place] : {std::pair(buda, "buda"), std::pair(pest, "pest")}) {
            for (const std::string &name : names) {
                m_system.startModel(name, place, {"--step_ms", "20", "--max_batch", "64", "--cold_limit", coldLimit});
            }
        }
        m_system.startEntry("entry-1", "buda");
        m_system.startEntry("entry-2", "pest", {{"entry-1"}, "store", {}});
        m_system.apply(local_system::exampleConfiguration());
        if (!m_system.waitReady("entry-1", 4) || !m_system.waitReady("entry-2", 4)) {
            throw std::runtime_error("the system did not get ready");
        }
        for (const std::string &name : naive ? engines() : std::vector<std::string> {"entry-1", "entry-2"}) {
            m_targets.push_back(std::make_unique<http_back_end>(
                http_back_end_options {http_back_end_options::kind::service, m_system.url(name)},
                std::make_shared<transfer_loop>()));
        }
    }

    outcome run()
    {
        const time_point begin = boot_clock::now();
        const time_point measured = begin + std::chrono::seconds(FLAGS_warm_s);
        const time_point out = measured + std::chrono::seconds(FLAGS_in_s);
        const time_point cold = out + std::chrono::milliseconds(std::chrono::seconds(FLAGS_out_s)) / 2;
        const time_point back = out + std::chrono::seconds(FLAGS_out_s);
        const time_point end = back + std::chrono::seconds(FLAGS_back_s);
        const std::vector<std::string> leaving {pest[0] + ".engine", pest[1] + ".engine"};
        std::unique_ptr<work_watch> watch;
        outcome result;
        std::jthread operators([&] {
            std::this_thread::sleep_until(steady(out));
            setState("out");
            watch = std::make_unique<work_watch>(m_system, leaving);
            std::this_thread::sleep_until(steady(cold));
            result.lastWork = watch->lastWork().count();
            for (const std::string &engine : leaving) {
                m_system.inject(engine, {{"turn_cold", coldRequests}});
            }
            std::this_thread::sleep_until(steady(back));
            setState("in_service");
        });
        std::exponential_distribution<double> gap(FLAGS_rate);
        double offset = gap(m_random);
        for (time_point next = begin; next < end; offset += gap(m_random)) {
            std::this_thread::sleep_until(steady(next));
            send(next >= measured, next, out, back);
            next = begin + std::chrono::duration_cast<boot_clock::duration>(seconds(offset));
        }
        operators.join();
        while (m_running > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20)); // Each answer ends by its deadline.
        }
        summarize(result);
        return result;
    }

private:
    static std::vector<std::string> engines()
    {
        return {"model-1.engine", "model-2.engine", "model-3.engine", "model-4.engine"};
    }

    /** CLOCK_BOOTTIME has no sleep_until of its own. */
    static std::chrono::steady_clock::time_point steady(time_point when)
    {
        return std::chrono::steady_clock::now()
            + std::chrono::duration_cast<std::chrono::steady_clock::duration>(when - boot_clock::now());
    }

    void setState(const std::string &state)
    {
        m_system.admin("entry-1", "POST", "data_centres/pest", nlohmann::json {{"state", state}}.dump());
    }

    void send(bool measured, time_point now, time_point out, time_point back)
    {
        const auto lag = std::chrono::duration_cast<boot_clock::duration>(seconds(FLAGS_naive_lag_s));
        const bool withoutPest = m_naive && now >= out + lag && now < back + lag;
        const std::size_t choices = withoutPest ? buda.size() : m_targets.size();
        const std::string content = "letter " + std::to_string(m_random());
        back_end_request request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.headers = {{"Content-Type", "application/json"}, {"Authorization", "Bearer example-office-key"}};
        request.body = nlohmann::json {
            {"model", "iroda-nyelv"},
            {"messages", {{{"role", "user"}, {"content", content}}}},
            {"max_tokens", FLAGS_tokens},
            {"stream",
             true}}.dump();
        request.idleTimeout = answerLimit;
        request.deadline = answerLimit;
        m_requests.push_back({std::make_shared<stream_recorder>("user: " + content + "\n",
                                                                static_cast<std::size_t>(FLAGS_tokens), m_running),
                              measured});
        ++m_running;
        m_targets[m_requests.size() % choices]->start(request, m_requests.back().recorder);
    }

    void summarize(outcome &result)
    {
        for (const sent_request &each : m_requests) {
            if (!each.measured) {
                continue;
            }
            stream_recorder &recorder = *each.recorder;
            recorder.check();
            ++result.requests;
            const std::vector<time_point> &arrivals = recorder.arrivals();
            if (recorder.status() != 200) {
                ++result.refused;
                continue;
            }
            const bool whole = recorder.lost() == 0 && recorder.outOfOrder() == 0 && !recorder.failure();
            result.cut += whole ? 0 : 1;
            if (arrivals.empty()) {
                continue;
            }
            const milliseconds first = arrivals.front() - recorder.start();
            result.firstToken.push_back(first.count());
            result.inTime += whole && first <= firstTokenTarget ? 1 : 0;
            for (std::size_t index = 1; index < arrivals.size(); ++index) {
                result.longestGap =
                    std::max(result.longestGap, milliseconds(arrivals[index] - arrivals[index - 1]).count());
            }
        }
        for (const std::string &engine : engines()) {
            result.fallOvers +=
                nlohmann::json::parse(m_system.stats(engine), nullptr, false).value("fall_overs", std::int64_t {0});
        }
    }

    const bool m_naive;
    std::mt19937_64 m_random;
    std::atomic<int> m_running {0};
    local_system m_system;
    std::vector<sent_request> m_requests;
    std::vector<std::unique_ptr<http_back_end>> m_targets; ///< Last, so that no answer arrives at a dead recorder.
};

void print(const char *name, std::uint64_t seed, const outcome &result)
{
    const quantiles firstToken(result.firstToken);
    std::printf("| %s | %llu | %zu | %.4f | %.0f | %.0f | %.0f | %zu | %zu | %.2f | %lld |\n", name,
                static_cast<unsigned long long>(seed), result.requests,
                static_cast<double>(result.inTime) / static_cast<double>(std::max<std::size_t>(1, result.requests)),
                firstToken.at(0.5), firstToken.at(0.95), result.longestGap, result.cut, result.refused, result.lastWork,
                static_cast<long long>(result.fallOvers));
    std::fflush(stdout);
}

} // namespace
} // namespace bronzechute::bench

int main(int argc, char **argv)
{
    using namespace bronzechute::bench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf(
        "| way | seed | requests | in time | first token ms p50 | p95 | longest gap ms | cut | refused | last new "
        "work s | fall-overs |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + static_cast<std::uint64_t>(FLAGS_seeds); ++seed) {
        for (const bool naive : {false, true}) {
            print(naive ? "naive" : "bronzechute", seed, data_centre_run(naive, seed).run());
        }
    }
    return 0;
}
