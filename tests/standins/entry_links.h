#pragma once

#include <optional>
#include <string>
#include <vector>

namespace bronzechute::standins {

/** What an entry of a test connects to. */
struct entry_links
{
    std::vector<std::string> peers; ///< Entries started before it.
    std::string store = "store"; ///< The store, or a forwarder in front of it.
    std::optional<std::vector<std::string>> endpoints; ///< Absent: all endpoints started before it.
    std::string settings = {}; ///< Further lines of its settings file.
};

} // namespace bronzechute::standins
