#pragma once

#include "base/result.h"
#include "expert_map/expert_map.h"
#include "expert_map/rank_command.h"
#include "expert_map/rank_counts.h"
#include "expert_map/rank_report.h"
#include "gateway/gateway_endpoint.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace bronzechute {

/** Experts that one rank serves, by layer. */
struct rank_experts
{
    std::int64_t version = 0;
    std::vector<std::vector<std::uint16_t>> byLayer;

    friend bool operator==(const rank_experts &, const rank_experts &) = default;
};

/** Client of the engines of rank groups. Each callback runs exactly once, in the thread of the event loop. */
class rank_engine_client
{
public:
    virtual ~rank_engine_client() = default;

    virtual void readReport(const gateway_endpoint_ptr &endpoint,
                            std::function<void(const result<rank_report> &)> done) = 0;

    /** @param layers number of layers of the model, over which the engine's counts are distributed evenly */
    virtual void readCounts(const gateway_endpoint_ptr &endpoint, std::size_t layers,
                            std::function<void(const result<rank_counts> &)> done) = 0;

    /** Reads which experts the rank uses. */
    virtual void readExperts(const gateway_endpoint_ptr &endpoint,
                             std::function<void(const result<rank_experts> &)> done) = 0;

    /** Sends an order to the engine. @param map map for a prepare order; ignored by other orders */
    virtual void send(const gateway_endpoint_ptr &endpoint, const rank_command &order, const expert_map &map,
                      std::function<void(command_outcome)> done) = 0;
};

} // namespace bronzechute
