#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace bronzechute {

enum class log_level { trace, debug, info, warn, error };

/**
 * Sets up log4cxx: one JSON object a line with the keys time, level, component, node, message and the fields of the
 * call. Lines are written by another thread; while it cannot keep up they are dropped.
 * @param level trace, debug, info, warn or error
 * @param file empty for standard output
 * @param node name of this process, on every line
 */
void configureLogging(const std::string &level, const std::string &file, const std::string &node);

/** Changes the least severe level that is written. @param level as in the settings */
void setLogLevel(const std::string &level);

/** @returns whether lines of this level are written, so that callers need not build fields for nothing. */
bool logEnabled(log_level level);

/**
 * Writes one line. Nothing is written before configureLogging().
 * @param component module that reports
 * @param fields further keys, for example request_id, trace_id, peer and step
 */
void logLine(log_level level, std::string_view component, std::string_view message,
             const nlohmann::json &fields = nlohmann::json::object());

} // namespace bronzechute
