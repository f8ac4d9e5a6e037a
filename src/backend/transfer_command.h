#pragma once

#include <memory>

namespace bronzechute {

class running_transfer;

/** A command to the thread of a transfer_loop. */
struct transfer_command
{
    enum class kind {
        start,
        cancel,
        resume,
    };
    kind action = kind::start;
    std::shared_ptr<running_transfer> target;
};

} // namespace bronzechute
