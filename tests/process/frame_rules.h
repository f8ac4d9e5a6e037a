#pragma once

#include "standins/local_system.h"

namespace bronzechute::standins {

/** Sets the rules of a forwarder for frames, a JSON list; an empty text sets none. */
void injectFrames(local_system &system, const std::string &forwarder, const std::string &rules);

/** @returns whether the forwarder has changed a frame for each rule. */
bool framesChanged(local_system &system, const std::string &forwarder, const std::string &rules);

} // namespace bronzechute::standins
