#include "standins/endpoint_registration.h"
#include "standins/run_standin.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <vector>

DEFINE_string(id, "endpoint", "name of the endpoint, or of the group of ranks");
DEFINE_string(service, "service", "service that it belongs to");
DEFINE_string(data_centre, "here", "data centre");
DEFINE_string(store, "", "URL of the store's stand-in; empty: the endpoint is not listed");
DEFINE_string(address, "", "IP:PORT that the store's entry names instead of the own one, without ranks only");
DEFINE_int32(port, 0, "TCP port on the loopback address, without ranks only; 0: the kernel chooses");
DEFINE_int32(ranks, 0, "engines of a group, each listed on its own; 0: no group");
DEFINE_int32(slots, 8, "requests at once");
DEFINE_int32(work_ms, 15, "time of a request that is not a stream, and until the first event of one");
DEFINE_int32(events, 8, "events of a stream");
DEFINE_int32(event_interval_ms, 30, "time between two events of a stream, without ranks only");
DEFINE_int32(cold_ms, 0, "time after the start in which the endpoint is cold");
DEFINE_double(cold_per_second, 0, "requests that a cold endpoint tolerates; 0: any number");

int main(int argc, char **argv)
{
    using namespace bronzechute::standins;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockEndSignals();
    std::vector<std::unique_ptr<routed_endpoint>> endpoints;
    std::vector<std::unique_ptr<endpoint_registration>> registrations;
    const std::size_t count = FLAGS_ranks > 0 ? static_cast<std::size_t>(FLAGS_ranks) : 1;
    const auto group = FLAGS_ranks > 0 ? std::make_shared<rank_passes>(count) : nullptr;
    std::string addresses;
    for (std::size_t rank = 0; rank < count; ++rank) {
        routed_endpoint_options options;
        options.id = group == nullptr ? FLAGS_id : FLAGS_id + "-" + std::to_string(rank);
        options.service = FLAGS_service;
        options.port = static_cast<std::uint16_t>(FLAGS_port);
        options.slots = FLAGS_slots;
        options.work = std::chrono::milliseconds(FLAGS_work_ms);
        options.events = FLAGS_events;
        options.eventInterval = std::chrono::milliseconds(FLAGS_event_interval_ms);
        options.cold = std::chrono::milliseconds(FLAGS_cold_ms);
        options.coldPerSecond = FLAGS_cold_per_second;
        endpoints.push_back(std::make_unique<routed_endpoint>(options, group, rank));
        const std::string own = endpoints.back()->address();
        const std::string listed = FLAGS_address.empty() ? own : FLAGS_address;
        addresses += (rank == 0 ? "http=" : " http" + std::to_string(rank) + "=") + own;
        if (!FLAGS_store.empty()) {
            registrations.push_back(std::make_unique<endpoint_registration>(FLAGS_store, options, listed,
                                                                            FLAGS_data_centre, *endpoints.back()));
        }
    }
    std::printf("ready %s\n", addresses.c_str());
    std::fflush(stdout);
    for (;;) {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        int received = 0;
        sigwait(&signals, &received);
        if (received == SIGINT) {
            return 0;
        }
        for (const auto &registration : registrations) {
            registration->announceLeaving(); // It goes on serving until it is ended.
        }
    }
}
