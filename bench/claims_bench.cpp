// Compares ways of writing claims against the stand-in store: one write for each claim, groups formed by each entry,
// and groups formed by one owner for all entries. Usage: claims_bench [--seeds 1,2,3] [--claims N] ...
#include "base/boot_clock.h"
#include "standins/store_server.h"
#include "store/batching_store.h"
#include "store/claim_registry.h"
#include "store/etcd_store.h"

#include <gflags/gflags.h>

#include <atomic>
#include <cstdio>
#include <memory>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(seeds, "1,2,3", "seeds of the runs, joined by commas");
DEFINE_int32(claims, 1600, "claims in each measurement");
DEFINE_int32(entries, 4, "entry processes");
DEFINE_int32(threads, 16, "concurrent requests of each entry");
DEFINE_int32(writes_per_second, 400, "limit of the store");
DEFINE_int32(delay_ms, 2, "time of the store for a call");
DEFINE_int32(answer_bytes, 400, "mean size of an answer");

using namespace bronzechute;

namespace {

enum class way { single, group_each_entry, group_one_owner };

constexpr way allWays[] = {way::single, way::group_each_entry, way::group_one_owner};

const char *nameOf(way kind)
{
    switch (kind) {
    case way::single:
        return "single";
    case way::group_each_entry:
        return "group_each_entry";
    case way::group_one_owner:
        return "group_one_owner";
    }
    return "";
}

struct measurement
{
    double writesPerClaim = 0;
    double claimsPerSecond = 0;
    int failed = 0;
};

/** The objects of one entry process; the grouping store is shared when one owner writes for all. */
struct bench_entry
{
    std::unique_ptr<etcd_store> direct;
    std::shared_ptr<batching_store> grouped;
    std::unique_ptr<incarnation_lease> incarnation;
    std::unique_ptr<claim_registry> registry;
};

std::unique_ptr<etcd_store> makeStore(const standins::store_server &server)
{
    etcd_store_options options;
    options.endpoints = {server.url()};
    options.callTimeout = std::chrono::seconds(30);
    return std::make_unique<etcd_store>(options);
}

measurement measure(way kind, std::uint64_t seed)
{
    auto server = std::move(standins::store_server::start().value());
    const auto ownerStore = makeStore(*server);
    const auto owner = std::make_shared<batching_store>(*ownerStore);
    std::vector<bench_entry> entries(static_cast<std::size_t>(FLAGS_entries));
    for (std::size_t index = 0; index < entries.size(); ++index) {
        bench_entry &entry = entries[index];
        entry.direct = makeStore(*server);
        entry.grouped = kind == way::group_one_owner ? owner : std::make_shared<batching_store>(*entry.direct);
        platform_store &store = kind == way::single ? static_cast<platform_store &>(*entry.direct) : *entry.grouped;
        entry.incarnation = std::make_unique<incarnation_lease>(store, "entry" + std::to_string(index));
        entry.registry =
            std::make_unique<claim_registry>(store, *entry.incarnation, seed * 1000 + index, std::chrono::seconds(30));
        // Obtains the lease before the measurement.
        static_cast<void>(entry.registry->claim({"warm-up", std::to_string(index), "key", "f"}));
    }
    server->inject({{"writes_per_second", FLAGS_writes_per_second}, {"delay_ms", FLAGS_delay_ms}});
    const auto writesBefore = server->stats()["writes"].get<std::int64_t>();
    std::atomic<int> next {0};
    std::atomic<int> failed {0};
    const time_point begin = boot_clock::now();
    std::vector<std::thread> threads;
    const int threadCount = FLAGS_entries * FLAGS_threads;
    threads.reserve(static_cast<std::size_t>(threadCount));
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&, thread] {
            claim_registry &registry = *entries[static_cast<std::size_t>(thread % FLAGS_entries)].registry;
            std::mt19937_64 random(seed * 7919 + static_cast<std::uint64_t>(thread));
            std::exponential_distribution<double> bytes(1.0 / FLAGS_answer_bytes);
            for (int index = next++; index < FLAGS_claims; index = next++) {
                const auto outcome = registry.claim({"service", "account", std::to_string(index), "f"});
                if (!outcome || outcome.value().verdict != claim_verdict::claimed) {
                    ++failed;
                    continue;
                }
                const http_answer answer {200, {}, std::string(static_cast<std::size_t>(bytes(random)), 'x')};
                failed += registry.finish(outcome.value().claim, answer) ? 0 : 1;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double seconds = std::chrono::duration<double>(boot_clock::now() - begin).count();
    const auto writes = server->stats()["writes"].get<std::int64_t>() - writesBefore;
    server->inject({{"writes_per_second", 0}, {"delay_ms", 0}});
    return {static_cast<double>(writes) / FLAGS_claims, FLAGS_claims / seconds, failed};
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("seed way writes_per_claim claims_per_second ratio_to_single failed\n");
    std::stringstream seeds(FLAGS_seeds);
    for (std::string seed; std::getline(seeds, seed, ',');) {
        double single = 0;
        for (const way kind : allWays) {
            const measurement measured = measure(kind, std::stoull(seed));
            single = kind == way::single ? measured.claimsPerSecond : single;
            std::printf("%s %s %.3f %.0f %.2f %d\n", seed.c_str(), nameOf(kind), measured.writesPerClaim,
                        measured.claimsPerSecond, measured.claimsPerSecond / single, measured.failed);
            std::fflush(stdout);
        }
    }
    return 0;
}
