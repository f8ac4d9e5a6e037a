#pragma once

#include "capacity_sample.h"
#include "slope_recorder.h"
#include "standins/store_server.h"
#include "store/claim_registry.h"
#include "store/configuration_watcher.h"
#include "store/etcd_store.h"
#include "store/store_configuration_repository.h"
#include "store/vm_list.h"
#include "usage_meter.h"

#include <thread>

namespace bronzechute::bench {

/** What an entry keeps running against the store. */
struct store_follower
{
    explicit store_follower(const std::string &url, int index)
        : store(options(url))
        , incarnation(store, "entry-" + std::to_string(index))
        , watcher(store, holder, static_cast<std::uint64_t>(index))
        , vms(store)
    {
    }

    static etcd_store_options options(const std::string &url)
    {
        etcd_store_options options;
        options.endpoints = {url};
        return options;
    }

    etcd_store store;
    configuration_holder holder;
    incarnation_lease incarnation;
    configuration_watcher watcher;
    vm_list vms;
};

/** Calls and writes of a stand-in so far. */
struct store_calls
{
    double reads = 0;
    double keepAlives = 0;
    double watches = 0;
    double writes = 0;
    double all = 0;

    static store_calls of(standins::store_server &server)
    {
        const nlohmann::json stats = server.stats();
        store_calls calls;
        for (const auto &[kind, count] : stats["calls"].items()) {
            calls.all += count.get<double>();
            calls.reads += kind == "range" ? count.get<double>() : 0;
            calls.keepAlives += kind == "lease_keepalive" ? count.get<double>() : 0;
            calls.watches += kind == "watch" ? count.get<double>() : 0;
        }
        calls.writes = stats["writes"].get<double>();
        return calls;
    }
};

/** Idle calls by number of followers; all sizes are observed at the same time, each on a stand-in of its own. */
inline void measureIdleStore(slope_recorder &recorder)
{
    constexpr int seconds = 30;
    const std::vector<int> counts {1, 2, 4, 8};
    std::vector<std::unique_ptr<standins::store_server>> servers;
    std::vector<std::unique_ptr<store_follower>> followers;
    for (const int count : counts) {
        servers.push_back(std::move(standins::store_server::start().value()));
        for (int index = 0; index < count; ++index) {
            followers.push_back(std::make_unique<store_follower>(servers.back()->url(), index));
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    std::vector<store_calls> before;
    before.reserve(servers.size());
    for (const auto &server : servers) {
        before.push_back(store_calls::of(*server));
    }
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    std::vector<std::pair<double, double>> reads;
    std::vector<std::pair<double, double>> keepAlives;
    std::vector<std::pair<double, double>> watches;
    std::vector<std::pair<double, double>> open;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        const store_calls after = store_calls::of(*servers[index]);
        reads.emplace_back(counts[index], (after.reads - before[index].reads) / seconds);
        keepAlives.emplace_back(counts[index], (after.keepAlives - before[index].keepAlives) / seconds);
        watches.emplace_back(counts[index], (after.watches - before[index].watches) / seconds);
        open.emplace_back(counts[index], servers[index]->stats()["open_watches"].get<double>());
    }
    followers.clear();
    recorder.add("store_idle_reads", "entry", "calls/s", reads);
    recorder.add("store_idle_keep_alives", "entry", "calls/s", keepAlives);
    recorder.add("store_idle_watch_calls", "entry", "calls/s", watches);
    recorder.add("store_open_watches", "entry", "open watches", open);
}

/** Calls and time to acceptance and application of a configuration change, and calls of a claim. */
inline void measureStoreChanges(slope_recorder &recorder)
{
    const auto server = std::move(standins::store_server::start().value());
    store_follower follower(server->url(), 0);
    etcd_store store(store_follower::options(server->url()));
    store_configuration_repository repository(store, 1);
    claim_registry claims(store, follower.incarnation, 1);
    const configuration content = capacity_sample::envelope(50, 1).content;
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    static_cast<void>(claims.claim({"service", "account", "warm-up", "f"})); // Obtains the lease.
    std::vector<std::pair<double, double>> calls;
    std::vector<std::pair<double, double>> writes;
    std::vector<std::pair<double, double>> delay;
    std::vector<std::pair<double, double>> claimWrites;
    std::int64_t revision = 0;
    int key = 0;
    for (const int count : {5, 10, 20, 40}) {
        const store_calls before = store_calls::of(*server);
        const double begin = usage_meter::seconds(CLOCK_MONOTONIC);
        for (int index = 0; index < count; ++index) {
            revision = repository.propose(content, revision, "operators").value().revision;
            while (follower.holder.current()->revision < revision) {
                std::this_thread::sleep_for(std::chrono::microseconds(200));
            }
        }
        delay.emplace_back(count, usage_meter::seconds(CLOCK_MONOTONIC) - begin);
        const store_calls after = store_calls::of(*server);
        calls.emplace_back(count, after.all - before.all);
        writes.emplace_back(count, after.writes - before.writes);
        for (int index = 0; index < count; ++index) {
            const auto outcome = claims.claim({"service", "account", std::to_string(++key), "f"});
            static_cast<void>(claims.finish(outcome.value().claim, {200, {}, "answer"}));
        }
        claimWrites.emplace_back(count, store_calls::of(*server).writes - after.writes);
    }
    recorder.add("change_store_calls", "change", "calls", calls);
    recorder.add("change_store_writes", "change", "writes", writes);
    recorder.add("change_store_to_watcher", "change", "s", delay);
    recorder.add("claim_store_writes", "claim", "writes", claimWrites);
}

} // namespace bronzechute::bench
