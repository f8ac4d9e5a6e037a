#pragma once

#include <memory>

namespace bronzechute {

class running_transfer;

/** What another thread asks of the thread of a transfer_loop. */
struct transfer_command
{
    enum class kind {
        start,
        cancel,
        resume,
    };
    kind what = kind::start;
    std::shared_ptr<running_transfer> subject;
};

} // namespace bronzechute
