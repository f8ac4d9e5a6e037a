#pragma once

#include "config/configuration_envelope.h"
#include "policy/endpoint_status.h"
#include "policy/listed_vm.h"

#include <string>
#include <vector>

namespace bronzechute::bench {

/** Data of the shape of the design size: names, labels and a configuration. */
struct capacity_sample
{
    static std::string endpointName(int index)
    {
        return "worker-" + std::to_string(index) + ".dc-" + std::to_string(index % 27);
    }

    static endpoint_status status(int index)
    {
        endpoint_status status;
        status.state = serving_state::serving;
        status.dataCentre = "dc-" + std::to_string(index % 27);
        status.labels = {
            {"engine", "model-" + std::to_string(index % 5)}, {"hardware", "a2"}, {"rack", std::to_string(index % 40)}};
        status.models = {"model-" + std::to_string(index % 5)};
        status.inFlight = 17;
        status.limit = 32;
        status.queued = 3;
        status.engineStartId = "0123456789abcdef";
        status.meanServiceMs = 1234.5;
        return status;
    }

    static std::vector<listed_vm> listed(int count)
    {
        std::vector<listed_vm> vms;
        vms.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            vms.push_back({endpointName(index), "10.0." + std::to_string(index / 250) + ".1:7000", false});
        }
        return vms;
    }

    /** 960 accounts, 27 data centres, 5 models with a pool and a class each, and so many endpoint overrides. */
    static configuration_envelope envelope(int overrides, std::int64_t revision)
    {
        configuration_envelope envelope;
        envelope.revision = revision;
        envelope.writeId = std::string(32, 'a');
        envelope.author = "operators";
        envelope.at = "2026-12-04T00:00:00Z";
        configuration &content = envelope.content;
        for (int index = 0; index < 960; ++index) {
            std::string number = std::to_string(index);
            std::string hash(64 - number.size(), '0');
            content.accounts.push_back({"account-" + number, {hash + number}, 1 + index % 3});
        }
        for (int index = 0; index < 27; ++index) {
            content.dataCentres.push_back({"dc-" + std::to_string(index), true});
        }
        for (int index = 0; index < 5; ++index) {
            const std::string model = "model-" + std::to_string(index);
            content.pools.push_back({"pool-" + model,
                                     endpoint_kind::model,
                                     {{"model", model}},
                                     selector::parse("engine=" + model).value(),
                                     model});
            traffic_class each;
            each.name = "class-" + model;
            each.models = {model};
            each.pools = selector::parse("model=" + model).value();
            content.classes.push_back(each);
        }
        for (int index = 0; index < overrides; ++index) {
            content.endpoints.push_back({endpointName(index), {{"tier", "t" + std::to_string(index % 9)}}, false});
        }
        return envelope;
    }
};

} // namespace bronzechute::bench
