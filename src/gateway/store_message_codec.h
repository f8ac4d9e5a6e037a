#pragma once

#include "gateway/store_message.h"

#include <nlohmann/json.hpp>

namespace bronzechute {

/** @returns the MessagePack value of the message. */
nlohmann::json encodeStoreBody(const store_message &message);

/** @throws nlohmann::json::exception if the value is malformed */
store_message decodeStoreBody(const nlohmann::json &body);

} // namespace bronzechute
