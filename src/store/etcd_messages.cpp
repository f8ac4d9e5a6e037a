#include "store/etcd_messages.h"

#include "store/base64.h"

#include <charconv>

namespace bronzechute::etcd {

namespace {

using nlohmann::json;

constexpr const char *parseStep = "store.parse";

json compare(const std::string &key, std::int64_t expectedModRevision)
{
    return {{"key", encodeBase64(key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(expectedModRevision)}};
}

json putOperation(const store_write &write)
{
    json put = {{"key", encodeBase64(write.key)}, {"value", encodeBase64(write.value)}};
    if (write.lease != 0) {
        put["lease"] = std::to_string(write.lease);
    }
    return {{"request_put", std::move(put)}};
}

const std::string *stringField(const json &object, const char *name)
{
    const json &value = field(object, name);
    return value.is_string() ? value.get_ptr<const std::string *>() : nullptr;
}

} // namespace

std::string endOfPrefix(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xFF) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return {'\0'};
    }
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

json rangeRequest(const std::string &key)
{
    return {{"key", encodeBase64(key)}};
}

json prefixRequest(const std::string &prefix)
{
    return {{"key", encodeBase64(prefix.empty() ? std::string(1, '\0') : prefix)},
            {"range_end", encodeBase64(endOfPrefix(prefix))}};
}

json watchRequest(const std::string &prefix, std::int64_t startRevision)
{
    json create = prefixRequest(prefix);
    create["start_revision"] = std::to_string(startRevision);
    create["progress_notify"] = true;
    return {{"create_request", std::move(create)}};
}

json transactionRequest(const std::vector<store_write> &writes)
{
    json request = {{"compare", json::array()}, {"success", json::array()}};
    for (const store_write &write : writes) {
        request["compare"].push_back(compare(write.key, write.expectedModRevision));
        request["success"].push_back(putOperation(write));
    }
    return request;
}

json batchRequest(const std::vector<store_write> &writes)
{
    json request = {{"success", json::array()}};
    for (const store_write &write : writes) {
        request["success"].push_back({{"request_txn", transactionRequest({write})}});
    }
    return request;
}

json deleteRequest(const std::string &key, std::int64_t expectedModRevision)
{
    json operations = json::array();
    operations.push_back({{"request_delete_range", rangeRequest(key)}});
    json compares = json::array();
    compares.push_back(compare(key, expectedModRevision));
    return {{"compare", std::move(compares)}, {"success", std::move(operations)}};
}

const json &field(const json &object, const char *name)
{
    static const json null;
    if (!object.is_object()) {
        return null;
    }
    const auto found = object.find(name);
    return found == object.end() ? null : *found;
}

std::int64_t int64Field(const json &object, const char *name)
{
    const json &value = field(object, name);
    if (value.is_number_integer()) {
        return value.get<std::int64_t>();
    }
    std::int64_t number = 0;
    if (const std::string *text = stringField(object, name)) {
        std::from_chars(text->data(), text->data() + text->size(), number);
    }
    return number;
}

std::int64_t headerRevision(const json &answer)
{
    return int64Field(field(answer, "header"), "revision");
}

result<store_entry> parseEntry(const json &keyValue)
{
    const std::string *key = stringField(keyValue, "key");
    const std::string *value = stringField(keyValue, "value");
    const auto keyBytes = decodeBase64(key == nullptr ? "" : *key);
    const auto valueBytes = decodeBase64(value == nullptr ? "" : *value);
    if (!keyBytes || keyBytes->empty() || !valueBytes) {
        return error {errc::protocol_violation, parseStep, {}, "key or value is not valid base64"};
    }
    return store_entry {*keyBytes, *valueBytes, int64Field(keyValue, "mod_revision")};
}

result<std::vector<store_entry>> parseEntries(const json &answer)
{
    std::vector<store_entry> entries;
    for (const json &keyValue : field(answer, "kvs")) {
        auto entry = parseEntry(keyValue);
        if (!entry) {
            return entry.error();
        }
        entries.push_back(std::move(entry.value()));
    }
    return entries;
}

} // namespace bronzechute::etcd
