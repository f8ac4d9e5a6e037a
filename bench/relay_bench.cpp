// Compares a path to an engine or a plain service with the direct one, both in the same run.

#include "backend/http_back_end.h"
#include "plain_load.h"
#include "process_usage.h"
#include "quantiles.h"
#include "step_clock_phase.h"
#include "stream_recorder.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <map>
#include <random>
#include <sstream>

DEFINE_string(direct, "", "base URL of the engine or service");
DEFINE_string(through, "", "base URL of the path to measure");
DEFINE_string(headers, "", "header fields for both, separated by '|'");
DEFINE_string(pids, "",
              "processes to account for: name=PID,…; for a repeated name the sum of processor time and the largest "
              "resident memory");
DEFINE_uint64(seed, 0, "seed of prompts and start times; 0: chosen at random");
DEFINE_int32(seconds, 120, "upper bound of the whole run");
DEFINE_string(model, "iroda-nyelv", "model that the streams ask for");
DEFINE_int32(streams, 300, "streams on each path");
DEFINE_double(token_ms, 66, "step of the engine, which must not depend on the batch (--step_growth_us 0)");
DEFINE_int32(tokens, 100, "tokens of each stream");
DEFINE_int32(ramp_ms, 1000, "streams start at random times within this span");
DEFINE_int32(loops, 4, "receiving threads for each path");
DEFINE_bool(common_clock, true,
            "both paths lead to one engine: lateness counts from the end of its steps; otherwise from the earliest "
            "token of each stream");
DEFINE_bool(plain, false, "send short requests instead of streams");
DEFINE_string(path, "/orders/1", "plain: path of the requests");
DEFINE_string(body, "", "plain: JSON body; POST when given, otherwise GET");
DEFINE_int32(requests, 2000, "plain: number of requests on each path for the added time");
DEFINE_int32(burst_requests, 40000, "plain: number of requests of each burst for requests a second");
DEFINE_int32(connections, 8, "plain: connections for requests a second");

namespace bronzechute::bench {
namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

/** The streams over one path. */
struct path_run
{
    std::string name;
    std::vector<std::unique_ptr<http_back_end>> receivers;
    std::vector<std::shared_ptr<stream_recorder>> streams;
};

path_run makePath(const std::string &name, const std::string &url)
{
    path_run path;
    path.name = name;
    for (int count = 0; count < FLAGS_loops; ++count) {
        path.receivers.push_back(std::make_unique<http_back_end>(
            http_back_end_options {http_back_end_options::kind::service, url}, std::make_shared<transfer_loop>()));
    }
    return path;
}

void startStream(path_run &path, const std::string &content, std::atomic<int> &running)
{
    back_end_request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Content-Type", "application/json"}};
    for (const std::string &header : split(FLAGS_headers, '|')) {
        const std::size_t colon = header.find(':');
        request.headers.emplace_back(header.substr(0, colon), header.substr(std::min(colon + 2, header.size())));
    }
    request.body = nlohmann::json {
        {"model", FLAGS_model},
        {"messages", {{{"role", "user"}, {"content", content}}}},
        {"max_tokens", FLAGS_tokens},
        {"stream",
         true}}.dump();
    request.idleTimeout = std::chrono::seconds(FLAGS_seconds);
    request.deadline = std::chrono::seconds(FLAGS_seconds);
    const std::size_t receiver = path.streams.size() % path.receivers.size();
    path.streams.push_back(
        std::make_shared<stream_recorder>("user: " + content + "\n", static_cast<std::size_t>(FLAGS_tokens), running));
    ++running;
    path.receivers[receiver]->start(request, path.streams.back());
}

void runStreams(std::vector<path_run> &paths, std::mt19937_64 &random)
{
    std::uniform_int_distribution<int> offset(0, FLAGS_ramp_ms);
    std::multimap<std::chrono::milliseconds, std::string> schedule;
    for (int count = 0; count < FLAGS_streams; ++count) {
        schedule.emplace(std::chrono::milliseconds(offset(random)), "stream " + std::to_string(random()));
    }
    std::atomic<int> running {0};
    const time_point begin = boot_clock::now();
    for (const auto &[when, content] : schedule) {
        std::this_thread::sleep_for(begin + when - boot_clock::now());
        for (path_run &path : paths) {
            startStream(path, content, running);
        }
    }
    constexpr std::chrono::milliseconds interval {20};
    // Each stream ends by itself, at the latest by its deadline.
    while (running > 0) {
        std::this_thread::sleep_for(interval);
    }
}

std::vector<double> latenessOf(const path_run &path, const step_clock_phase &clock)
{
    const auto step = std::chrono::duration_cast<std::chrono::nanoseconds>(milliseconds(FLAGS_token_ms));
    std::vector<double> lateness;
    for (const auto &stream : path.streams) {
        const std::vector<time_point> &arrivals = stream->arrivals();
        time_point base = time_point::max();
        for (std::size_t index = 0; index < arrivals.size(); ++index) {
            base = std::min(base, arrivals[index] - static_cast<std::int64_t>(index) * step);
        }
        if (FLAGS_common_clock && !arrivals.empty()) {
            base = clock.stepBefore(base);
        }
        for (std::size_t index = 0; index < arrivals.size(); ++index) {
            const time_point due = base + static_cast<std::int64_t>(index) * step;
            lateness.push_back(milliseconds(arrivals[index] - due).count());
        }
    }
    return lateness;
}

/** @returns the number of tokens that arrived in order over all paths but the first. */
std::size_t reportStreams(std::vector<path_run> &paths)
{
    std::vector<time_point> allArrivals;
    // Both paths count: the earliest token of all may have come through the measured one.
    for (const path_run &path : paths) {
        for (const auto &stream : path.streams) {
            stream->check();
            allArrivals.insert(allArrivals.end(), stream->arrivals().begin(), stream->arrivals().end());
        }
    }
    if (allArrivals.empty()) {
        std::printf("no token arrived\n");
        return 0;
    }
    const step_clock_phase clock(allArrivals,
                                 std::chrono::duration_cast<std::chrono::nanoseconds>(milliseconds(FLAGS_token_ms)));
    std::vector<quantiles> lateness;
    std::vector<quantiles> first;
    std::size_t relayed = 0;
    std::printf("path      streams  failed  tokens   lost  out-of-order  lateness ms p50    p95    p99  first token ms "
                "p50    p95\n");
    for (const path_run &path : paths) {
        std::size_t lost = 0;
        std::size_t outOfOrder = 0;
        int failed = 0;
        std::vector<double> firstTimes;
        for (const auto &stream : path.streams) {
            lost += stream->lost();
            outOfOrder += stream->outOfOrder();
            if (stream->failed() && failed++ == 0) {
                std::printf("first failure on %s: status %d %s\n", path.name.c_str(), stream->status(),
                            stream->failure() ? stream->failure()->toString().c_str() : "");
            }
            if (!stream->arrivals().empty()) {
                firstTimes.push_back(milliseconds(stream->arrivals().front() - stream->start()).count());
            }
        }
        lateness.emplace_back(latenessOf(path, clock));
        first.emplace_back(std::move(firstTimes));
        relayed = lateness.back().count();
        std::printf("%-8s %8zu %7d %7zu %6zu %13zu %15.2f %6.2f %6.2f %18.1f %6.1f\n", path.name.c_str(),
                    path.streams.size(), failed, relayed, lost, outOfOrder, lateness.back().at(0.5),
                    lateness.back().at(0.95), lateness.back().at(0.99), first.back().at(0.5), first.back().at(0.95));
    }
    std::printf("added    %55.2f %6.2f %6.2f %18.1f %6.1f\n", lateness[1].at(0.5) - lateness[0].at(0.5),
                lateness[1].at(0.95) - lateness[0].at(0.95), lateness[1].at(0.99) - lateness[0].at(0.99),
                first[1].at(0.5) - first[0].at(0.5), first[1].at(0.95) - first[0].at(0.95));
    return relayed;
}

/** @returns the number of requests sent over the measured path. */
std::size_t runPlain()
{
    const time_point limit = boot_clock::now() + std::chrono::seconds(FLAGS_seconds);
    std::vector<std::string> headers = split(FLAGS_headers, '|');
    headers.emplace_back("Content-Type: application/json");
    const std::vector<std::string> urls = {FLAGS_direct + FLAGS_path, FLAGS_through + FLAGS_path};
    const char *names[] = {"direct", "through"};
    std::vector<std::vector<double>> times(urls.size());
    std::vector<int> failed(urls.size(), 0);
    {
        plain_connection direct(urls[0], FLAGS_body, headers);
        plain_connection through(urls[1], FLAGS_body, headers);
        plain_connection *connections[] = {&direct, &through};
        for (int count = 0; count < FLAGS_requests && boot_clock::now() < limit; ++count) {
            for (std::size_t path = 0; path < urls.size(); ++path) {
                bool ok = false;
                times[path].push_back(connections[path]->send(ok));
                failed[path] += ok ? 0 : 1;
            }
        }
    }
    std::size_t requests = times[1].size();
    // The paths take turns at going first, so that neither noise nor order favours one. An even number of rounds.
    constexpr int rounds = 6;
    std::vector<std::vector<double>> rates(urls.size());
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t turn = 0; turn < urls.size(); ++turn) {
            const std::size_t path = round % 2 == 0 ? turn : 1 - turn;
            const plain_burst burst =
                sendBurst(urls[path], FLAGS_body, headers, FLAGS_connections, FLAGS_burst_requests, limit);
            rates[path].push_back(burst.requestsPerSecond);
            failed[path] += burst.failed;
            requests += path == 1 ? burst.sent : 0;
        }
    }
    std::vector<quantiles> time;
    std::vector<double> rate;
    std::printf("path      failed  time ms p50     p99  requests/s with %d connections (median of %d)\n",
                FLAGS_connections, rounds);
    for (std::size_t path = 0; path < urls.size(); ++path) {
        time.emplace_back(std::move(times[path]));
        rate.push_back(quantiles(std::move(rates[path])).at(0.5));
        std::printf("%-8s %7d %12.3f %7.3f %10.0f\n", names[path], failed[path], time[path].at(0.5),
                    time[path].at(0.99), rate[path]);
    }
    std::printf("added    %20.3f %7.3f %9.2fx\n", time[1].at(0.5) - time[0].at(0.5),
                time[1].at(0.99) - time[0].at(0.99), rate[1] / rate[0]);
    return requests;
}

process_usage usageOf(const std::vector<pid_t> &pids)
{
    process_usage sum;
    for (const pid_t pid : pids) {
        const process_usage each = process_usage::of(pid);
        sum.processorTime += each.processorTime;
        sum.residentBytes = std::max(sum.residentBytes, each.residentBytes);
    }
    return sum;
}

int run()
{
    if (FLAGS_direct.empty() || FLAGS_through.empty() || FLAGS_streams < 1 || FLAGS_tokens < 1 || FLAGS_loops < 1
        || FLAGS_connections < 1 || FLAGS_token_ms <= 0) {
        std::fprintf(stderr, "relay_bench: --direct and --through are required; counts must be positive\n");
        return 2;
    }
    const std::uint64_t seed = FLAGS_seed != 0 ? FLAGS_seed : std::random_device {}();
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    std::mt19937_64 random(seed);
    std::map<std::string, std::vector<pid_t>> pids;
    std::map<std::string, process_usage> before;
    for (const std::string &entry : split(FLAGS_pids, ',')) {
        const std::size_t equals = entry.find('=');
        const std::string number = equals == std::string::npos ? "0" : entry.substr(equals + 1);
        pids[entry.substr(0, equals)].push_back(static_cast<pid_t>(std::strtol(number.c_str(), nullptr, 10)));
    }
    for (const auto &[name, list] : pids) {
        before[name] = usageOf(list);
    }
    const time_point begin = boot_clock::now();
    std::size_t units = 0;
    if (FLAGS_plain) {
        units = runPlain();
    } else {
        std::vector<path_run> paths;
        paths.push_back(makePath("direct", FLAGS_direct));
        paths.push_back(makePath("through", FLAGS_through));
        runStreams(paths, random);
        units = reportStreams(paths);
    }
    const std::chrono::duration<double> time = boot_clock::now() - begin;
    const char *unit = FLAGS_plain ? "request" : "token";
    for (const auto &[name, list] : pids) {
        const process_usage after = usageOf(list);
        const std::chrono::duration<double> used = after.processorTime - before[name].processorTime;
        constexpr double mebibyte = 1024 * 1024;
        constexpr double microsecondsPerSecond = 1e6;
        std::printf("process %-12s %6.2f s processor time (%.1f%% of a core), %.2f us a relayed %s, resident MiB %.1f "
                    "before, %.1f after\n",
                    name.c_str(), used.count(), 100 * used.count() / time.count(),
                    units == 0 ? 0.0 : used.count() * microsecondsPerSecond / static_cast<double>(units), unit,
                    static_cast<double>(before[name].residentBytes) / mebibyte,
                    static_cast<double>(after.residentBytes) / mebibyte);
    }
    return 0;
}

} // namespace
} // namespace bronzechute::bench

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return bronzechute::bench::run();
}
