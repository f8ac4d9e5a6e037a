#pragma once

#include <string>

namespace bronzechute::standins {

/** Blocks SIGTERM and SIGINT for this thread and those it starts. Call before any other thread exists. */
void blockEndSignals();

/** Prints "ready " and the text on one line, then waits for SIGTERM or SIGINT. */
void runUntilEnded(const std::string &addresses);

} // namespace bronzechute::standins
