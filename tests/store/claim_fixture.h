#pragma once

#include "store/claim_registry.h"
#include "store_fixture.h"

#include <memory>
#include <string>

namespace bronzechute {

/** The parts of an entry process that handle claims. */
struct claiming_entry
{
    claiming_entry(platform_store &store, const std::string &name, std::uint64_t seed,
                   std::chrono::milliseconds resolveTimeout = std::chrono::milliseconds(400))
        : incarnation(std::make_unique<incarnation_lease>(store, name))
        , registry(std::make_unique<claim_registry>(store, *incarnation, seed, resolveTimeout))
    {
    }

    /** Simulates the end of the process. */
    void stop()
    {
        registry.reset();
        incarnation.reset();
    }

    std::unique_ptr<incarnation_lease> incarnation;
    std::unique_ptr<claim_registry> registry;
};

inline claim_request requestFor(const std::string &key, const std::string &fingerprint = "f")
{
    return {"iroda-app", "account", key, fingerprint};
}

inline const nlohmann::json noFaults = {
    {"outage", false}, {"delay_ms", 0}, {"delay_answer_ms", 0}, {"lose_answers", 0}};

} // namespace bronzechute
