#include "standins/etcd_fields.h"

#include "standins/store_refusal.h"
#include "store/base64.h"

namespace bronzechute::standins {

std::int64_t int64Field(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

std::string bytesField(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return {};
    }
    const auto bytes = decodeBase64(found->get<std::string>());
    if (!bytes) {
        throw store_refusal(400, 3, "illegal base64 data");
    }
    return *bytes;
}

bool inRange(const std::string &candidate, const std::string &key, const std::string &rangeEnd)
{
    return rangeEnd.empty() ? candidate == key : candidate >= key && candidate < rangeEnd;
}

} // namespace bronzechute::standins
