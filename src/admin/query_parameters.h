#pragma once

#include "base/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/** Parameters of a URL query. Does not decode percent escapes, which no value of the administration API needs. */
class query_parameters
{
public:
    explicit query_parameters(std::string_view query);

    /** @returns the value, or nothing when absent; errc::invalid_argument unless it is a non-negative integer. */
    result<std::optional<std::int64_t>> integer(const std::string &name) const;

    /** @returns the value, or false when absent; errc::invalid_argument unless it is true or false. */
    result<bool> boolean(const std::string &name) const;

private:
    std::map<std::string, std::string> m_values;
};

} // namespace bronzechute
