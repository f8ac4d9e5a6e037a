#pragma once

#include "capacity_sample.h"
#include "counting_link.h"
#include "entry/endpoint_directory.h"
#include "link/link_hub.h"
#include "policy/load_aware_chooser.h"
#include "policy/name_hash.h"
#include "slope_recorder.h"
#include "usage_meter.h"

namespace bronzechute::bench {

/** A directory that has heard so many endpoints. */
inline void fillDirectory(endpoint_directory &directory, int count)
{
    for (int index = 0; index < count; ++index) {
        const auto connection = std::make_shared<counting_link>(capacity_sample::endpointName(index));
        directory.onUp(connection);
        directory.onHeartbeat(connection, capacity_sample::status(index), boot_clock::now());
    }
}

inline double timeOfChoice(int endpoints, int overrides, int rounds)
{
    configuration_holder holder;
    holder.apply(capacity_sample::envelope(overrides, 1), configuration_source::store);
    endpoint_directory directory(daemon_settings(), holder);
    fillDirectory(directory, endpoints);
    caller_request request;
    request.kind = endpoint_kind::model;
    request.model = "model-1";
    request.prompt = std::string(2000, 'p');
    request.pools = selector::parse("model=model-1").value();
    return usage_meter::timeOf(rounds, [&] {
        if (directory.choose(request, {}, boot_clock::now()) == nullptr) {
            std::abort();
        }
        directory.onNeutral(capacity_sample::endpointName(1));
    });
}

/** Choice of an endpoint, memory of the directory, and reaction to one change of the platform's VM list. */
inline void measureDirectory(slope_recorder &recorder)
{
    std::vector<std::pair<double, double>> choice;
    std::vector<std::pair<double, double>> overridden;
    std::vector<std::pair<double, double>> memory;
    std::vector<std::pair<double, double>> dial;
    std::vector<std::pair<double, double>> list;
    for (const int count : {50, 100, 200, 400, 800, 1600}) {
        choice.emplace_back(count, timeOfChoice(count, 0, 100));
        overridden.emplace_back(count, timeOfChoice(count, count, 100));
        configuration_holder holder;
        const double before = usage_meter::allocatedBytes();
        endpoint_directory directory(daemon_settings(), holder);
        fillDirectory(directory, count);
        memory.emplace_back(count, usage_meter::allocatedBytes() - before);
        const std::vector<listed_vm> vms = capacity_sample::listed(count);
        list.emplace_back(count, usage_meter::timeOf(20, [&] {
                              directory.onVmList(vms, boot_clock::now());
                              static_cast<void>(directory.known());
                          }));
    }
    recorder.add("choice_without_overrides", "endpoint", "s", choice);
    recorder.add("choice_with_overrides", "endpoint with an override", "s", overridden);
    recorder.add("directory_memory", "endpoint", "B", memory);
    recorder.add("vm_list_change", "endpoint", "s", list);

    class silent_handler : public link_handler
    {
    public:
        void onUp(const link_ptr &) override
        {
        }
        void onFrame(const link_ptr &, frame) override
        {
        }
        void onDown(const link_ptr &, const std::string &) override
        {
        }
        heartbeat_frame makeHeartbeat() override
        {
            return {};
        }
    };
    silent_handler handler;
    // Never opened: only the names are registered.
    const auto hub = std::move(link_hub::create({}, {}, handler).value());
    int registered = 0;
    for (const int count : {100, 200, 400, 800, 1600}) {
        for (; registered < count; ++registered) {
            hub->dial(capacity_sample::endpointName(registered), "127.0.0.1:1");
        }
        std::vector<std::string> names;
        names.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            names.push_back(capacity_sample::endpointName(index));
        }
        dial.emplace_back(count, usage_meter::timeOf(3, [&] {
                              for (const std::string &name : names) {
                                  hub->dial(name, "127.0.0.1:1");
                              }
                          }));
    }
    recorder.add("dial_known", "endpoint", "s", dial);
}

} // namespace bronzechute::bench
