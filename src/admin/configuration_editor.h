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

/** Edits the configuration: reads, modifies, validates, authorises and proposes it. Thread-safe. */
class configuration_editor
{
public:
    /** Modifies the content, or returns an error reply that rejects the change. */
    using change_function = std::function<std::optional<http_reply>(configuration &content)>;

    struct options
    {
        std::optional<std::int64_t> baseRevision; ///< Expected current revision; if another one with different content
                                                  ///< is current, the edit is a conflict.
        bool dryRun = false; ///< Validates and authorises the change without making it.
        bool retry = true; ///< Whether to reapply the change to a newer configuration after a conflict.
    };

    configuration_editor(configuration_repository &repository, status_source &status)
        : m_repository(repository), m_status(status)
    {
    }

    /** Applies the change and retries after a conflict, unless a base revision is set or retry is false. */
    http_reply edit(const header_list &headers, const options &editOptions, const change_function &change);

private:
    /** @returns the reply, or nothing when the change has to be reapplied to a newer configuration. */
    std::optional<http_reply> tryEdit(const header_list &headers, const options &editOptions,
                                      const change_function &change, bool lastAttempt);

    /** @returns a reply with status 409, the current revision and its author, and the diff from the base revision. */
    http_reply conflictReply(std::int64_t baseRevision);

    configuration_repository &m_repository;
    status_source &m_status;
};

} // namespace bronzechute
