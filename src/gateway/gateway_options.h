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
class watch_relay;

/** Hooks through which a gateway uses the platform that it is deployed on. */
struct gateway_options
{
    wire_headers headers;

    /** Subscribes to the operators' configuration and the endpoints. Both arguments outlive the returned source. */
    std::function<std::unique_ptr<routing_source>(routing_observer &, watch_relay &)> openSource;

    /** Opens the store for what must outlive the gateways; empty if nothing is kept and engines form no rank groups. */
    std::function<std::unique_ptr<platform_store>()> openStore;

    /** Creates the client for the engines of rank groups; empty if there are none. */
    std::function<std::unique_ptr<rank_engine_client>(boost::asio::io_context &)> openEngines;
};

} // namespace bronzechute
