#include "tool/table_cell.h"

#include <array>
#include <cstdio>

namespace bronzechute {

std::string tableCell(const nlohmann::json &object, const char *key)
{
    if (!object.is_object() || !object.contains(key) || object[key].is_null()) {
        return "-";
    }
    const nlohmann::json &value = object[key];
    if (value.is_number_float()) {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", value.get<double>());
        return text.data();
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace bronzechute
