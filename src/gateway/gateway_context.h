#pragma once

#include "balance/caller_redirect.h"
#include "gateway/crash_guard.h"
#include "gateway/endpoint_table.h"
#include "gateway/gateway_metrics.h"
#include "gateway/memory_budget.h"
#include "gateway/request_dispatcher.h"
#include "gateway/wire_headers.h"

#include <utility>

#include <boost/asio/io_context.hpp>

namespace bronzechute {

/** Objects that all requests of a gateway share. Used from the thread of the event loop. */
struct gateway_context
{
    boost::asio::io_context &loop;
    const wire_headers &headers;
    endpoint_table &endpoints;
    request_dispatcher &dispatcher;
    gateway_metrics &metrics;
    const caller_redirect &redirect;
    crash_guard &guard;
    memory_budget &memory;
};

} // namespace bronzechute
