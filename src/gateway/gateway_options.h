#pragma once

#include "gateway/request_dispatcher.h"
#include "gateway/wire_headers.h"
#include "settings/daemon_settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace bronzechute {

class routing_observer;
class platform_store;
class rank_engine_client;
class routing_source;

/** What a gateway needs to know about the deployment that it runs in. */
struct gateway_options
{
    wire_headers headers;

    /** Begins to follow the operators' configuration and the endpoints; the observer outlives the source. */
    std::function<std::unique_ptr<routing_source>(routing_observer &)> openSource;

    /** Opens the store for the lease of the coordinator of expert maps; empty where engines form no groups. */
    std::function<std::unique_ptr<platform_store>()> openStore;

    std::function<std::unique_ptr<rank_engine_client>(boost::asio::io_context &)> openEngines;
};

} // namespace bronzechute
