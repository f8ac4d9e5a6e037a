#include "admin/admin_api.h"

#include "admin/admin_reply.h"
#include "admin/authorization.h"

#include <mutex>
#include <string_view>

namespace bronzechute {

namespace {

constexpr std::string_view pathPrefix = "/admin/v1/";
constexpr const char *bootstrapWarning = "no team is configured; every request is allowed";

} // namespace

admin_api::admin_api(configuration_repository &repository, status_source &status)
    : m_repository(repository), m_status(status), m_editor(repository, status)
{
}

const std::vector<admin_api::route> &admin_api::routes()
{
    static const std::vector<route> table = {
        {"GET", "configuration", false, &admin_api::getConfiguration},
        {"PUT", "configuration", false, &admin_api::putConfiguration},
        {"GET", "configuration", true, &admin_api::getRevision},
        {"GET", "history", false, &admin_api::getHistory},
        {"POST", "check", false, &admin_api::check},
        {"GET", "status", false, &admin_api::getStatus},
        {"POST", "data_centres", true, &admin_api::changeDataCentre},
        {"POST", "endpoints", true, &admin_api::changeEndpoint},
        {"POST", "rollback", false, &admin_api::rollback},
    };
    return table;
}

http_reply admin_api::handle(const http_request &request)
{
    if (request.bodyTooLarge) {
        return errorReply(413, "too_large", "the body is larger than the server's limit");
    }
    const auto caller = authenticateCaller(request);
    if (!caller) {
        if (caller.error().code != errc::permission_denied) {
            return errorReply(caller.error());
        }
        http_reply reply = errorReply(401, "unauthenticated", caller.error().detail, "Authorization");
        reply.headers.emplace_back("WWW-Authenticate", "Bearer");
        return reply;
    }
    http_reply reply = dispatch(request, caller.value());
    if (caller.value().bootstrap) {
        reply.headers.emplace_back("X-Bronzechute-Warning", bootstrapWarning);
    }
    return reply;
}

result<admin_caller> admin_api::authenticateCaller(const http_request &request)
{
    const auto current = m_repository.current();
    const std::scoped_lock lock(m_mutex);
    if (current) {
        m_lastConfiguration = current.value().content;
    } else if (!m_lastConfiguration) {
        return current.error();
    }
    return authenticate(*m_lastConfiguration, request.headers);
}

http_reply admin_api::dispatch(const http_request &request, const admin_caller &caller)
{
    std::string_view path = request.path;
    if (!path.starts_with(pathPrefix)) {
        return errorReply(404, "not_found", "no resource " + request.path);
    }
    path.remove_prefix(pathPrefix.size());
    const auto slash = path.find('/');
    const std::string_view resource = path.substr(0, slash);
    const bool hasName = slash != std::string_view::npos;
    const std::string name(hasName ? path.substr(slash + 1) : "");
    std::string allowed;
    for (const route &each : routes()) {
        if (resource != each.resource || hasName != each.hasName) {
            continue;
        }
        if (request.method == each.httpMethod) {
            return (this->*each.handler)({request, query_parameters(request.query), name, caller});
        }
        allowed += (allowed.empty() ? "" : ", ") + std::string(each.httpMethod);
    }
    if (allowed.empty()) {
        return errorReply(404, "not_found", "no resource " + request.path);
    }
    http_reply reply = errorReply(405, "method_not_allowed", request.method + " is not one of " + allowed);
    reply.headers.emplace_back("Allow", allowed);
    return reply;
}

http_reply admin_api::edit(const admin_request &request, configuration_editor::options editOptions,
                           const configuration_editor::change_function &change)
{
    const auto dryRun = request.query.boolean("dry_run");
    if (!dryRun) {
        return errorReply(400, "invalid_argument", dryRun.error().detail, "dry_run");
    }
    editOptions.dryRun = dryRun.value();
    return m_editor.edit(request.http.headers, editOptions, change);
}

} // namespace bronzechute
