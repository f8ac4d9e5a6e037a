#include "store/vm.h"

#include <nlohmann/json.hpp>

#include <array>
#include <optional>

namespace bronzechute {

namespace {

using nlohmann::json;

error malformed(const std::string &detail)
{
    return {errc::protocol_violation, "vm.parse", {}, detail};
}

std::optional<std::string> textField(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string() || found->get_ref<const std::string &>().empty()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

} // namespace

result<vm> vm::parse(const std::string &text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return malformed("expected a JSON object");
    }
    static constexpr std::array<const char *, 5> names = {"name", "address", "role", "data_centre", "state"};
    std::array<std::string, names.size()> values;
    for (std::size_t index = 0; index < names.size(); ++index) {
        const auto value = textField(object, names[index]);
        if (!value) {
            return malformed(std::string("missing or empty string \"") + names[index] + "\"");
        }
        values[index] = *value;
    }
    const auto &[name, address, role, dataCentre, state] = values;
    if (role != "entry" && role != "endpoint") {
        return malformed("unknown role \"" + role + "\", expected entry or endpoint");
    }
    if (state != "live" && state != "leaving") {
        return malformed("unknown state \"" + state + "\", expected live or leaving");
    }
    return vm {name, address, role == "entry" ? vm_role::entry : vm_role::endpoint, dataCentre,
               state == "live" ? vm_state::live : vm_state::leaving};
}

} // namespace bronzechute
