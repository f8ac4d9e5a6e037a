#pragma once

#include "store/platform_store.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/** Requests and responses of the etcd v3 API in the JSON encoding of its HTTP gateway. */
namespace bronzechute::etcd {

/** @returns the end of the key range with the prefix, exclusive; "\0", which means no end, for an empty prefix. */
std::string endOfPrefix(std::string prefix);

/** @returns a range request for a single key. */
nlohmann::json rangeRequest(const std::string &key);

/** @returns a range request for all keys with the prefix. */
nlohmann::json prefixRequest(const std::string &prefix);

/** @returns a request to watch the prefix from a store revision on, with progress notifications. */
nlohmann::json watchRequest(const std::string &prefix, std::int64_t startRevision);

/** @returns a transaction that applies all writes if every key has its expected mod revision, and none otherwise. */
nlohmann::json transactionRequest(const std::vector<store_write> &writes);

/** @returns a transaction with one nested transaction for each write, so that each is applied independently. */
nlohmann::json batchRequest(const std::vector<store_write> &writes);

/** @returns a transaction that deletes the key if it has the expected mod revision. */
nlohmann::json deleteRequest(const std::string &key, std::int64_t expectedModRevision);

/** @returns an int64 field, which the JSON mapping encodes as a string; 0 when absent or malformed. */
std::int64_t int64Field(const nlohmann::json &object, const char *name);

/** @returns a field of an object, or JSON null when the field is absent or the value is not an object. */
const nlohmann::json &field(const nlohmann::json &object, const char *name);

/** @returns the store revision in the header of a response. */
std::int64_t headerRevision(const nlohmann::json &answer);

/** @returns the entry, or errc::protocol_violation when its key or value is malformed. */
result<store_entry> parseEntry(const nlohmann::json &keyValue);

/** @returns the entries in the response to a range request. */
result<std::vector<store_entry>> parseEntries(const nlohmann::json &answer);

} // namespace bronzechute::etcd
