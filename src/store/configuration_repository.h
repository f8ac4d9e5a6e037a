#pragma once

#include "base/result.h"
#include "config/configuration_envelope.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Accepted configurations, current and past. Calls block; safe to call from any thread.
 */
class configuration_repository
{
public:
    virtual ~configuration_repository() = default;

    /** @returns the configuration in force; revision 0 with empty content when none was accepted yet. */
    virtual result<configuration_envelope> current() = 0;

    /** @returns the configuration that was accepted as this revision, or errc::not_found. */
    virtual result<configuration_envelope> at(std::int64_t revision) = 0;

    /** @returns the accepted configurations, newest first, at most limit. */
    virtual result<std::vector<configuration_envelope>> history(std::size_t limit) = 0;

    /**
     * Accepts the content as revision baseRevision + 1.
     * @param baseRevision the revision that the change was made from
     * @returns the accepted envelope; errc::conflict when another revision is in force; errc::outcome_unknown when
     *          the store could neither confirm nor deny the write
     */
    virtual result<configuration_envelope> propose(const configuration &content, std::int64_t baseRevision,
                                                   const std::string &author) = 0;
};

} // namespace bronzechute
