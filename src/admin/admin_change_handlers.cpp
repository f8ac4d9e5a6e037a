#include "admin/admin_api.h"
#include "admin/admin_reply.h"
#include "admin/live_endpoints.h"
#include "config/configuration_parser.h"

#include <algorithm>

namespace bronzechute {

namespace {

/** @returns an error reply if the body is not an object or has an unexpected key. */
std::optional<http_reply> rejectUnknownKeys(const nlohmann::json &body, const std::vector<std::string> &expected)
{
    if (body.is_discarded()) {
        return errorReply(400, "invalid_argument", "the body is not a JSON object", "body");
    }
    for (const auto &[key, unused] : body.items()) {
        if (std::find(expected.begin(), expected.end(), key) == expected.end()) {
            return errorReply(400, "invalid_argument", "unknown key", key);
        }
    }
    return std::nullopt;
}

/** @returns an error reply unless labels is an object whose values are strings or null. */
std::optional<http_reply> rejectLabels(const nlohmann::json &labels)
{
    if (!labels.is_object()) {
        return errorReply(400, "invalid_argument", "expected an object", "labels");
    }
    for (const auto &[key, value] : labels.items()) {
        if (!value.is_string() && !value.is_null()) {
            return errorReply(400, "invalid_argument", "expected a text, or null to remove the label", "labels." + key);
        }
    }
    return std::nullopt;
}

void applyLabels(label_set &labels, const nlohmann::json &changes)
{
    for (const auto &[key, value] : changes.items()) {
        if (value.is_null()) {
            labels.erase(key);
        } else {
            labels[key] = value.get<std::string>();
        }
    }
}

} // namespace

http_reply admin_api::putConfiguration(const admin_request &request)
{
    const auto base = request.query.integer("base_revision");
    if (!base || !base.value()) {
        return errorReply(400, "invalid_argument",
                          base ? "the revision that the change was made from is missing" : base.error().detail,
                          "base_revision");
    }
    const auto parsed = parseConfiguration(request.http.body);
    if (!parsed.content) {
        return invalidDocumentReply(parsed.problems);
    }
    configuration_editor::options editOptions;
    editOptions.baseRevision = *base.value();
    return edit(request, editOptions, [&](configuration &content) {
        content = *parsed.content;
        return std::nullopt;
    });
}

http_reply admin_api::changeDataCentre(const admin_request &request)
{
    const nlohmann::json body = request.jsonBody();
    if (auto errorResponse = rejectUnknownKeys(body, {"state"})) {
        return *errorResponse;
    }
    if (!body.contains("state") || (body["state"] != "out" && body["state"] != "in_service")) {
        return errorReply(400, "invalid_argument", "expected \"out\" or \"in_service\"", "state");
    }
    const bool inService = body["state"] == "in_service";
    return edit(request, {}, [&](configuration &content) -> std::optional<http_reply> {
        auto &centres = content.dataCentres;
        const auto found =
            std::find_if(centres.begin(), centres.end(), [&](const auto &each) { return each.name == request.name; });
        if (found != centres.end()) {
            found->inService = inService;
            return std::nullopt;
        }
        // Accepting a misspelt name would make it look as if the intended data centre were out of service.
        if (!live_endpoints(m_status.status()).hasDataCentre(request.name)) {
            return errorReply(404, "not_found",
                              "no data centre " + request.name + " in the configuration or among the live endpoints",
                              "name");
        }
        centres.push_back({request.name, inService});
        return std::nullopt;
    });
}

http_reply admin_api::changeEndpoint(const admin_request &request)
{
    const nlohmann::json body = request.jsonBody();
    if (auto errorResponse = rejectUnknownKeys(body, {"labels", "drained"})) {
        return *errorResponse;
    }
    const nlohmann::json labels = body.value("labels", nlohmann::json::object());
    if (auto errorResponse = rejectLabels(labels)) {
        return *errorResponse;
    }
    if (body.contains("drained") && !body["drained"].is_boolean()) {
        return errorReply(400, "invalid_argument", "expected true or false", "drained");
    }
    return edit(request, {}, [&](configuration &content) -> std::optional<http_reply> {
        auto &overrides = content.endpoints;
        auto found = std::find_if(overrides.begin(), overrides.end(),
                                  [&](const auto &each) { return each.name == request.name; });
        if (found == overrides.end()) {
            if (!live_endpoints(m_status.status()).hasEndpoint(request.name)) {
                return errorReply(404, "not_found",
                                  "no endpoint " + request.name + " in the configuration or among the live endpoints",
                                  "name");
            }
            found = overrides.insert(overrides.end(), endpoint_override {request.name, {}, false});
        }
        applyLabels(found->labels, labels);
        found->drained = body.value("drained", found->drained);
        if (found->labels.empty() && !found->drained) {
            overrides.erase(found);
        }
        return std::nullopt;
    });
}

http_reply admin_api::rollback(const admin_request &request)
{
    const nlohmann::json body = request.jsonBody();
    if (auto errorResponse = rejectUnknownKeys(body, {"revision"})) {
        return *errorResponse;
    }
    if (!body.contains("revision") || !body["revision"].is_number_integer() || body["revision"] < 1) {
        return errorReply(400, "invalid_argument", "expected a revision from 1", "revision");
    }
    const auto old = m_repository.at(body["revision"].get<std::int64_t>());
    if (!old) {
        return errorReply(old.error());
    }
    configuration_editor::options editOptions;
    editOptions.retry = false; // A retry would overwrite a concurrent change that the caller has not seen.
    return edit(request, editOptions, [&](configuration &content) {
        content = old.value().content;
        return std::nullopt;
    });
}

} // namespace bronzechute
