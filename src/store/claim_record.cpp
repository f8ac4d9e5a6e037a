#include "store/claim_record.h"

#include "store/base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace bronzechute {

namespace {

using nlohmann::json;

constexpr std::array<const char *, 4> stateNames = {"started", "finished", "finished_without_answer", "released"};

} // namespace

std::string claim_record::serialize() const
{
    json object = {{"state", stateNames[static_cast<std::size_t>(state)]},
                   {"fingerprint", fingerprint},
                   {"mark", writeId},
                   {"owner", owner}};
    if (state == claim_state::finished) {
        object["answer"] = {
            {"status", answer.status}, {"headers", answer.headers}, {"body", encodeBase64(answer.body)}};
    }
    // Header values may contain bytes that are not valid UTF-8; dump() would throw on them by default.
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<claim_record> claim_record::parse(const std::string &text)
{
    const error malformed {errc::protocol_violation, "claim.parse", {}, "malformed claim record"};
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return malformed;
    }
    try {
        claim_record record;
        const auto name = std::ranges::find(stateNames, object.at("state").get<std::string>());
        if (name == stateNames.end()) {
            return malformed;
        }
        record.state = static_cast<claim_state>(name - stateNames.begin());
        record.fingerprint = object.at("fingerprint").get<std::string>();
        record.writeId = object.at("mark").get<std::string>();
        record.owner = object.at("owner").get<std::string>();
        if (record.state == claim_state::finished) {
            const json &answer = object.at("answer");
            record.answer.status = answer.at("status").get<int>();
            record.answer.headers = answer.at("headers").get<header_list>();
            auto body = decodeBase64(answer.at("body").get<std::string>());
            if (!body) {
                return malformed;
            }
            record.answer.body = std::move(*body);
        }
        return record;
    } catch (const json::exception &) {
        return malformed;
    }
}

} // namespace bronzechute
