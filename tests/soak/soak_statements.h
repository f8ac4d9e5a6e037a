#pragma once

#include "soak/soak_evidence.h"

#include <string>
#include <vector>

namespace bronzechute::soak {

/**
 * Adds a line for each request that a gateway sent to an endpoint against the endpoint's own word: after an answer that
 * says that it leaves, or more than two within a pause.
 */
void checkStatements(const soak_evidence &evidence, std::vector<std::string> &findings);

} // namespace bronzechute::soak
