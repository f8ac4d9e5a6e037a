#pragma once

#include "http/http_reply.h"

#include <nlohmann/json.hpp>

namespace bronzechute::standins {

http_reply jsonReply(int status, const nlohmann::json &body);

/** @returns an answer that is cut before its first byte. */
http_reply cutReply();

} // namespace bronzechute::standins
