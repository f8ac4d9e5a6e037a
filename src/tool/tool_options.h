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
    std::string keyFile; ///< Empty: no key is sent.
    bool json = false; ///< Output for programs instead of tables for people.
    bool dryRun = false;
    bool settings = false; ///< check reads a settings file.
    std::optional<std::int64_t> baseRevision; ///< Only apply.
    std::int64_t limit = 20; ///< Only history.
    std::chrono::seconds timeout {10};
};

} // namespace bronzechute
