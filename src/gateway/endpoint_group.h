#pragma once

#include "balance/pass_pace.h"
#include "base/boot_clock.h"

#include <string>

namespace bronzechute {

/** What a gateway knows of endpoints that run in lock-step: one that fails stops all. */
struct endpoint_group
{
    std::string name; ///< Unique among all services.
    bool open = true; ///< By the coordinator's last word.
    time_point closedUntil {}; ///< Its endpoints get nothing until then, by the coordinator's word.
    time_point brokenUntil {}; ///< The same, because one of them has refused on account of another one.
    time_point progressAt {}; ///< Of the last event of any of its streams, or when it last ran hardly any.
    pass_pace pace;
    int endpoints = 0; ///< Listed ones, when the endpoints were last looked through.
    int running = 0; ///< Requests of all gateways, when the endpoints were last looked through.
    int ownRunning = 0; ///< Requests of this gateway, when the endpoints were last looked through.
    bool full = false; ///< Whether it then ran as many requests as its passes allow.
};

} // namespace bronzechute
