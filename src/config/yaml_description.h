#pragma once

#include <yaml-cpp/yaml.h>

#include <string>
#include <vector>

namespace bronzechute {

/** @returns the node's line from 1, or 0 when it has none. */
int lineNumber(const YAML::Node &node);

/** @returns what a diagnostic says was found: a quoted scalar, cut when long, or the kind of the node. */
std::string describe(const YAML::Node &node);

/** @returns whether a scalar was written without quotes, as numbers and booleans are. */
bool isPlain(const YAML::Node &node);

/** @returns the words as "a, b or c". */
std::string joined(const std::vector<std::string> &words);

} // namespace bronzechute
