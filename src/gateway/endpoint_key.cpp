#include "gateway/endpoint_key.h"

#include <xxhash.h>

namespace bronzechute {

std::uint32_t endpointKey(std::string_view id)
{
    return XXH32(id.data(), id.size(), 0);
}

} // namespace bronzechute
