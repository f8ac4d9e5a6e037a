#pragma once

#include "standins/fetch_answer.h"
#include "standins/fetch_request.h"

#include <string>

namespace bronzechute::standins {

/** Blocks until the answer is complete or has failed. Each call uses a connection of its own. */
fetch_answer fetch(const fetch_request &request);

/** GET. */
fetch_answer fetch(const std::string &url);

/** POST of a JSON body. */
fetch_answer postJson(const std::string &url, const std::string &json, const header_list &headers = {});

} // namespace bronzechute::standins
