#pragma once

#include "base/boot_clock.h"
#include "gateway/exchange_news.h"
#include "gateway/load_table.h"
#include "gateway/member_report.h"
#include "gateway/store_message.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bronzechute {

using hub_message = std::variant<member_report, load_table, exchange_news, store_message>;

/** @returns whether the datagram is one of the messages of hub mode; load reports begin with another byte. */
bool isHubMessage(std::string_view datagram);

std::string encodeMemberReport(const member_report &report);

/** @returns the table without load_table::included, for setIncluded() */
std::string encodeLoadTable(const load_table &table);

/** Sets load_table::included in an encoded table, which is the only part that differs from receiver to receiver. */
void setIncluded(std::string &datagram, std::uint64_t included);

/** @param now time of the sender, from which the ages of evidence are counted */
std::string encodeNews(const exchange_news &news, time_point now);

std::string encodeStoreMessage(const store_message &message);

/** @returns the message, or nothing if the datagram is not a valid one */
std::optional<hub_message> decodeHubMessage(std::string_view datagram, time_point now);

} // namespace bronzechute
