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
 * The administration API below /admin/v1/. Errors are JSON {"error": {"code", "message", "field"}}.
 *
 * While no team is configured every request is allowed, and each reply carries the header X-Bronzechute-Warning.
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
        const char *verb;
        const char *resource;
        bool named; ///< Whether a name follows the resource in the path.
        method handler;
    };

    static const std::vector<route> &routes();

    /** Uses the last configuration that was read when the store cannot be reached. */
    result<admin_caller> identify(const http_request &request);
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

    /** Runs an edit with the parameter dry_run of the request. */
    http_reply edit(const admin_request &request, configuration_editor::options how,
                    const configuration_editor::change_function &change);

    configuration_repository &m_repository;
    status_source &m_status;
    configuration_editor m_editor;
    ranked_mutex m_mutex {lock_rank::configuration};
    std::optional<configuration> m_lastRead; ///< Guarded by m_mutex.
};

} // namespace bronzechute
