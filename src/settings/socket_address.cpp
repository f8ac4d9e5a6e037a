#include "settings/daemon_settings.h"

namespace bronzechute {

std::string socket_address::toString() const
{
    return host + ":" + std::to_string(port);
}

} // namespace bronzechute
