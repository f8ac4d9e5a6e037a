#include "gateway/event_loop.h"

#include "observe/log.h"

#include <exception>

namespace bronzechute {

void runEventLoop(boost::asio::io_context &loop)
{
    for (;;) {
        try {
            loop.run();
            return;
        } catch (const std::exception &problem) {
            logLine(log_level::error, "gateway", "unexpected error in the event loop; the handler is abandoned",
                    {{"cause", problem.what()}});
        }
    }
}

} // namespace bronzechute
