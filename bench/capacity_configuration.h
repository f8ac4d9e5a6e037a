#pragma once

#include "capacity_sample.h"
#include "config/configuration_parser.h"
#include "counting_link.h"
#include "node/configuration_exchange.h"
#include "slope_recorder.h"
#include "usage_meter.h"

namespace bronzechute::bench {

/** Reading, applying and sending a configuration, by its number of endpoint overrides and of peers. */
inline void measureConfiguration(slope_recorder &recorder)
{
    constexpr int rounds = 10;
    constexpr int designOverrides = 4700;
    std::vector<std::pair<double, double>> bytes;
    std::vector<std::pair<double, double>> parse;
    std::vector<std::pair<double, double>> serialize;
    std::vector<std::pair<double, double>> apply;
    for (const int overrides : {50, 500, 1000, 2000, 3300, 4700}) {
        const configuration_envelope envelope = capacity_sample::envelope(overrides, 1);
        const std::string text = serializeEnvelope(envelope);
        bytes.emplace_back(overrides, text.size());
        parse.emplace_back(overrides, usage_meter::timeOf(rounds, [&] { static_cast<void>(parseEnvelope(text)); }));
        serialize.emplace_back(overrides,
                               usage_meter::timeOf(rounds, [&] { static_cast<void>(serializeEnvelope(envelope)); }));
        configuration_holder holder;
        std::vector<configuration_envelope> copies(rounds, envelope);
        std::int64_t revision = 0;
        apply.emplace_back(overrides, usage_meter::timeOf(rounds, [&] {
                               configuration_envelope &next = copies[static_cast<std::size_t>(revision)];
                               next.revision = ++revision;
                               holder.apply(std::move(next), configuration_source::peer);
                           }));
    }
    recorder.add("configuration_bytes", "override", "B", bytes);
    recorder.add("configuration_parse", "override", "s", parse);
    recorder.add("configuration_serialize", "override", "s", serialize);
    recorder.add("configuration_apply", "override", "s", apply);

    std::vector<std::pair<double, double>> publish;
    std::vector<std::pair<double, double>> pushed;
    for (const int peers : {1, 2, 4, 8, 16, 32}) {
        configuration_holder holder;
        configuration_exchange exchange(holder, [] {});
        std::vector<std::shared_ptr<counting_link>> links;
        for (int index = 0; index < peers; ++index) {
            links.push_back(std::make_shared<counting_link>(capacity_sample::endpointName(index)));
            exchange.onUp(links.back());
        }
        holder.apply(capacity_sample::envelope(designOverrides, 1), configuration_source::store);
        publish.emplace_back(peers, usage_meter::timeOf(1, [&] { exchange.publish(); }));
        std::size_t total = 0;
        for (const auto &each : links) {
            total += each->bytes();
        }
        pushed.emplace_back(peers, total);
    }
    recorder.add("configuration_publish", "peer", "s", publish);
    recorder.add("configuration_pushed", "peer", "B", pushed);

    std::vector<std::pair<double, double>> memory;
    std::vector<configuration_envelope> held;
    held.reserve(16);
    const double before = usage_meter::allocatedBytes();
    for (const std::size_t copies : {2, 4, 8, 16}) {
        while (held.size() < copies) {
            held.push_back(capacity_sample::envelope(designOverrides, 1));
        }
        memory.emplace_back(copies, usage_meter::allocatedBytes() - before);
    }
    recorder.add("configuration_memory", "envelope", "B", memory);
}

} // namespace bronzechute::bench
