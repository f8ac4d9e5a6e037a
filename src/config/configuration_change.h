#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace bronzechute {

/** A difference between two configuration documents. */
struct configuration_change
{
    std::string section; ///< Section of the document, for example "pools".
    std::string name; ///< Name of the object within the section; empty when the order of the section changed.
    std::string path; ///< For example "pools[chat].labels.tier".
    nlohmann::json before; ///< Null when the value was added.
    nlohmann::json after; ///< Null when the value was removed.

    friend bool operator==(const configuration_change &, const configuration_change &) = default;

    /** @returns "path: added VALUE", "path: removed VALUE" or "path: OLD -> NEW", with values as JSON. */
    std::string toString() const;
};

} // namespace bronzechute
