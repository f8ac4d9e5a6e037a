#pragma once

#include "base/result.h"

#include <string>

namespace bronzechute {

/** Role of the process that a VM runs. */
enum class vm_role { entry, endpoint };

/** Whether a VM stays in service or is about to be removed by the platform. */
enum class vm_state { live, leaving };

/** An entry of the platform's list of VMs. */
struct vm
{
    std::string name;
    std::string address; ///< IP address, followed by a port if the platform provides one.
    vm_role role = vm_role::endpoint;
    std::string dataCentre;
    vm_state state = vm_state::live;

    friend bool operator==(const vm &, const vm &) = default;

    /** @returns the VM, or errc::protocol_violation when the text is not a valid list entry. */
    static result<vm> parse(const std::string &json);
};

} // namespace bronzechute
