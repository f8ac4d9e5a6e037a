#pragma once

#include "gateway/placement_client.h"

#include <optional>
#include <span>
#include <string>

namespace bronzechute {

/** A request that records what the dispatcher decides. */
class recorded_client : public placement_client
{
public:
    explicit recorded_client(std::optional<stream_demand> demand = std::nullopt) : m_demand(demand)
    {
    }

    void onPlaced(const gateway_endpoint_ptr &placed) override
    {
        endpoint = placed;
    }

    void onRefused(refusal reason, boot_clock::duration expectedWait) override
    {
        refused = reason;
        wait = expectedWait;
    }

    std::span<const std::string> tried() const override
    {
        return {};
    }

    std::optional<stream_demand> demand() const override
    {
        return m_demand;
    }

    gateway_endpoint_ptr endpoint;
    std::optional<refusal> refused;
    boot_clock::duration wait {0};

private:
    const std::optional<stream_demand> m_demand;
};

} // namespace bronzechute
