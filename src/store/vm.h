#pragma once

#include "base/result.h"

#include <string>

namespace bronzechute {

enum class vm_role { entry, endpoint };

enum class vm_state { live, leaving };

/** A VM as the platform lists it. */
struct vm
{
    std::string name;
    std::string address; ///< IP address, with the port where the platform gives one.
    vm_role role = vm_role::endpoint;
    std::string dataCentre;
    vm_state state = vm_state::live;

    friend bool operator==(const vm &, const vm &) = default;

    /** @returns errc::protocol_violation when the text is not a VM of the platform's list. */
    static result<vm> parse(const std::string &json);
};

} // namespace bronzechute
