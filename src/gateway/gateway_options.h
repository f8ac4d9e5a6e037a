#pragma once

#include "gateway/request_dispatcher.h"
#include "gateway/wire_headers.h"
#include "settings/daemon_settings.h"

#include <functional>
#include <memory>

namespace bronzechute {

class routing_observer;
class routing_source;

/** What a gateway needs to know about the deployment that it runs in. */
struct gateway_options
{
    wire_headers headers;

    /** Begins to follow the operators' configuration and the endpoints; the observer outlives the source. */
    std::function<std::unique_ptr<routing_source>(routing_observer &)> openSource;
};

} // namespace bronzechute
