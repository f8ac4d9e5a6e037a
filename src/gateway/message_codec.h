#pragma once

#include "balance/queue_summary.h"
#include "gateway/group_state.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/** @returns the MessagePack value of a datagram, or a discarded one if it is malformed or nested too deeply. */
nlohmann::json parseMessage(std::string_view datagram);

nlohmann::json encodeQueues(const std::map<std::string, queue_summary> &queues);

/** @throws nlohmann::json::exception if the value is malformed */
std::map<std::string, queue_summary> decodeQueues(const nlohmann::json &value);

nlohmann::json encodeGroups(const std::vector<group_state> &groups);

/** @throws nlohmann::json::exception if the value is malformed */
std::vector<group_state> decodeGroups(const nlohmann::json &value);

/** Drops the accounts with the fewest tokens beyond maxSummaryAccounts. */
void limitAccounts(queue_summary &summary);

} // namespace bronzechute
