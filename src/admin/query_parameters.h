#pragma once

#include "base/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/** Parameters of a URL's query. Values of the administration API need no percent escapes. */
class query_parameters
{
public:
    explicit query_parameters(std::string_view query);

    /** @returns nothing when absent; errc::invalid_argument unless it is an integer from 0. */
    result<std::optional<std::int64_t>> integer(const std::string &name) const;

    /** @returns false when absent; errc::invalid_argument unless it is true or false. */
    result<bool> boolean(const std::string &name) const;

private:
    std::map<std::string, std::string> m_values;
};

} // namespace bronzechute
