#pragma once

#include "standins/fetch_request.h"

#include <chrono>
#include <string>

namespace bronzechute::standins {

/**
 * @param id of the attempt
 * @param deadline how long the caller waits
 * @returns a GET request as a caller of the document of siteDocument() sends it
 */
fetch_request siteRequest(const std::string &url, const std::string &id, std::chrono::milliseconds deadline);

} // namespace bronzechute::standins
