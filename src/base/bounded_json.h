#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace bronzechute {

constexpr int maxJsonNesting = 64; ///< Of arrays and objects in a text from another process.

/**
 * Parses JSON text from another process. Text that is nested deeply, which would take far more memory and stack than
 * its length, is not parsed.
 *
 * @throws nlohmann::json::exception if it is not JSON, std::invalid_argument if it is nested too deeply
 */
nlohmann::json parseBoundedJson(std::string_view text);

} // namespace bronzechute
