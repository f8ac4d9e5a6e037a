#pragma once

#include <map>
#include <string>

namespace bronzechute {

/** Labels of an endpoint or a pool: values by key. */
using label_set = std::map<std::string, std::string>;

} // namespace bronzechute
