#pragma once

#include "store/platform_store.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/** Messages of the etcd v3 API in the JSON mapping of its gateway. */
namespace bronzechute::etcd {

/** @returns the first key after all keys with the prefix; "\0", which means all keys, for an empty prefix. */
std::string endOfPrefix(std::string prefix);

nlohmann::json rangeRequest(const std::string &key);
nlohmann::json prefixRequest(const std::string &prefix);
nlohmann::json watchRequest(const std::string &prefix, std::int64_t startRevision);

/** @returns a transaction that makes all writes or none. */
nlohmann::json transactionRequest(const std::vector<store_write> &writes);

/** @returns a transaction with one nested transaction for each write. */
nlohmann::json groupRequest(const std::vector<store_write> &writes);

nlohmann::json deleteRequest(const std::string &key, std::int64_t expectedModRevision);

/** @returns an int64 field, which the mapping writes as a string; 0 when absent or malformed. */
std::int64_t int64Field(const nlohmann::json &object, const char *name);

/** @returns a field of an object, or a null value when it is absent or the value is no object. */
const nlohmann::json &field(const nlohmann::json &object, const char *name);

/** @returns the store's revision in the header of an answer. */
std::int64_t headerRevision(const nlohmann::json &answer);

/** @returns errc::protocol_violation when a key or a value cannot be read. */
result<store_entry> parseEntry(const nlohmann::json &keyValue);

/** @returns the entries of an answer to a range request. */
result<std::vector<store_entry>> parseEntries(const nlohmann::json &answer);

} // namespace bronzechute::etcd
