#include "policy/name_hash.h"

#include <xxhash.h>

namespace bronzechute {

std::uint64_t hashName(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace bronzechute
