#pragma once

#include "admin/admin_request.h"
#include "admin/configuration_editor.h"
#include "admin/status_source.h"
#include "base/ranked_mutex.h"
#include "base/result.h"
#include "http/http_handler.h"
#include "store/configuration_repository.h"

#include <optional>
#include <vector>

namespace bronzechute {

/**
 * HTTP handler of the administration API under /admin/v1/. Errors are JSON {"error": {"code", "message", "field"}}.
 *
 * While no team is configured, every request is allowed and each reply has the header X-Bronzechute-Warning.
 */
class admin_api : public http_handler
{
public:
    admin_api(configuration_repository &repository, status_source &status);

    http_reply handle(const http_request &request) override;

private:
    using method = http_reply (admin_api::*)(const admin_request &);

    struct route
    {
        const char *httpMethod;
        const char *resource;
        bool hasName; ///< Whether the resource is followed by a name in the path.
        method handler;
    };

    static const std::vector<route> &routes();

    /** Authenticates the caller; falls back to the last configuration read when the store is unavailable. */
    result<admin_caller> authenticateCaller(const http_request &request);
    http_reply dispatch(const http_request &request, const admin_caller &caller);

    http_reply getConfiguration(const admin_request &request);
    http_reply putConfiguration(const admin_request &request);
    http_reply getRevision(const admin_request &request);
    http_reply getHistory(const admin_request &request);
    http_reply check(const admin_request &request);
    http_reply getStatus(const admin_request &request);
    http_reply changeDataCentre(const admin_request &request);
    http_reply changeEndpoint(const admin_request &request);
    http_reply rollback(const admin_request &request);

    /** Edits the configuration, honouring the query parameter dry_run. */
    http_reply edit(const admin_request &request, configuration_editor::options editOptions,
                    const configuration_editor::change_function &change);

    configuration_repository &m_repository;
    status_source &m_status;
    configuration_editor m_editor;
    ranked_mutex m_mutex {lock_rank::configuration};
    std::optional<configuration> m_lastConfiguration; ///< Last one read from the repository; guarded by m_mutex.
};

} // namespace bronzechute
