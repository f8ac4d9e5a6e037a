#include "gateway/explain_query.h"

#include "base/percent_encoding.h"

#include <algorithm>

namespace bronzechute {

namespace {

error invalidQuery(const std::string &detail)
{
    return {errc::invalid_argument, "gateway.explain", "", detail};
}

std::string_view trimSpaces(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(' ');
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(' ') + 1 - begin);
}

result<void> applyParameter(std::string_view name, const std::string &value, gateway_request &request)
{
    if (name == "target") {
        if (!value.starts_with('/')) {
            return invalidQuery("target: found \"" + value + "\", expected a path that begins with /");
        }
        request.target = value;
        return success();
    }
    if (name != "field") {
        return invalidQuery("found the parameter \"" + std::string(name) + "\", expected target or field");
    }
    const std::size_t colon = value.find(':');
    if (colon == std::string::npos || colon == 0) {
        return invalidQuery("field: found \"" + value + "\", expected NAME:VALUE");
    }
    request.headers.emplace_back(value.substr(0, colon), trimSpaces(std::string_view(value).substr(colon + 1)));
    return success();
}

} // namespace

result<gateway_request> parseExplainQuery(std::string_view query, time_point now)
{
    gateway_request request;
    request.body = std::make_shared<const std::string>();
    request.arrivedAt = now;
    while (!query.empty()) {
        const std::string_view part = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), part.size() + 1));
        const std::size_t equals = std::min(part.find('='), part.size());
        const auto value = percentDecode(part.substr(std::min(equals + 1, part.size())));
        if (!value) {
            return invalidQuery("found a malformed percent escape");
        }
        if (const auto applied = applyParameter(part.substr(0, equals), *value, request); !applied) {
            return applied.error();
        }
    }
    if (request.target.empty()) {
        return invalidQuery("target: missing");
    }
    return request;
}

} // namespace bronzechute
