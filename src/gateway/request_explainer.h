#pragma once

#include "gateway/exchange_plan.h"
#include "gateway/gateway_context.h"
#include "gateway/request_explanation.h"

namespace bronzechute {

/** Explains what the gateway would do with a request now. Sends nothing and changes no state. */
class request_explainer
{
public:
    explicit request_explainer(const gateway_context &context) : m_context(context)
    {
    }

    /** @param arrivedAt arrival of the request, from which its time runs */
    request_explanation explain(const exchange_plan &plan, time_point arrivedAt, time_point now) const;

private:
    std::vector<endpoint_explanation> endpointsFor(const exchange_plan &plan,
                                                   const std::optional<stream_demand> &demand, time_point now) const;
    bool explainQuarantine(const exchange_plan &plan, request_explanation &explanation, time_point now) const;
    void explainPlacement(const exchange_plan &plan, const std::optional<stream_demand> &demand, time_point arrivedAt,
                          request_explanation &explanation, time_point now) const;

    const gateway_context &m_context;
};

} // namespace bronzechute
