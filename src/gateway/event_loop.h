#pragma once

#include <utility>

#include <boost/asio/io_context.hpp>

namespace bronzechute {

/**
 * Runs the handlers of the loop until it is stopped or has no work left. An exception that a handler throws is logged
 * and ends only that handler, so that an unexpected message of one peer does not end the requests of all callers.
 */
void runEventLoop(boost::asio::io_context &loop);

} // namespace bronzechute
