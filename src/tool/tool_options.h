#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace bronzechute {

/** Values of the flags of the program bronzechute. */
struct tool_options
{
    std::string server = "http://127.0.0.1:8081";
    std::string keyFile; ///< File with the administration key; when empty, no key is sent.
    bool json = false; ///< Print JSON instead of tables.
    bool dryRun = false; ///< Validate changes without applying them.
    bool settings = false; ///< For the verb check: the file is a settings file of a daemon.
    std::optional<std::int64_t> baseRevision; ///< For the verb apply.
    std::int64_t limit = 20; ///< For the verb history: maximum number of changes.
    std::chrono::seconds timeout {10}; ///< Per request.
};

} // namespace bronzechute
