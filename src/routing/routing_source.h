#pragma once

namespace bronzechute {

/** Watches the operators' routing configuration and the endpoint directory until it is destroyed. */
class routing_source
{
public:
    virtual ~routing_source() = default;
};

} // namespace bronzechute
