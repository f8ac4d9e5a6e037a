#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace bronzechute {

enum class log_level { trace, debug, info, warn, error };

/**
 * Sets up log4cxx to write one JSON object per line with the keys time, level, component, node and message and the
 * fields passed to logLine(). A background thread writes the lines; when its queue is full, further lines are dropped.
 * @param level least severe level to write: trace, debug, info, warn or error
 * @param file path of the log file, or empty for standard output
 * @param node name of this process, included in every line
 */
void configureLogging(const std::string &level, const std::string &file, const std::string &node);

/**
 * Changes the least severe level that is written.
 * @param level trace, debug, info, warn or error
 */
void setLogLevel(const std::string &level);

/** @returns whether lines of this level are written; lets callers skip building fields that would be discarded. */
bool logEnabled(log_level level);

/**
 * Writes one line. Calls made before configureLogging() have no effect.
 * @param component module that writes the line
 * @param fields additional keys, for example request_id, trace_id, peer and step
 */
void logLine(log_level level, std::string_view component, std::string_view message,
             const nlohmann::json &fields = nlohmann::json::object());

} // namespace bronzechute
