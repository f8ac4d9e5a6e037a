#pragma once

#include "admin/status_source.h"
#include "config/configuration.h"
#include "http/header_list.h"
#include "http/http_reply.h"
#include "store/configuration_repository.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace bronzechute {

/** Makes changes of the configuration: reads, modifies, checks, authorises and proposes. Safe to call concurrently. */
class configuration_editor
{
public:
    /** Modifies the content, or returns the reply that refuses the change. */
    using change_function = std::function<std::optional<http_reply>(configuration &content)>;

    struct options
    {
        std::optional<std::int64_t> baseRevision; ///< When set, another revision with other content is a conflict.
        bool dryRun = false; ///< Checks everything, changes nothing.
        bool retry = true; ///< Whether the change may be made again from a newer configuration after a conflict.
    };

    configuration_editor(configuration_repository &repository, status_source &status)
        : m_repository(repository), m_status(status)
    {
    }

    /** A conflict is retried a few times unless there is a base revision or retry is false. */
    http_reply edit(const header_list &headers, const options &how, const change_function &change);

private:
    /** @returns nothing when the change has to be made again from a newer configuration. */
    std::optional<http_reply> tryEdit(const header_list &headers, const options &how, const change_function &change,
                                      bool lastAttempt);

    /** @returns 409 with author, revision and diff of what was changed since the base. */
    http_reply conflictReply(std::int64_t baseRevision);

    configuration_repository &m_repository;
    status_source &m_status;
};

} // namespace bronzechute
