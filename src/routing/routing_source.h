#pragma once

namespace bronzechute {

/** Follows the operators' routing configuration and the directory of endpoints until it is destroyed. */
class routing_source
{
public:
    virtual ~routing_source() = default;
};

} // namespace bronzechute
