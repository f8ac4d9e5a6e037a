#pragma once

#include "base/result.h"
#include "config/configuration_envelope.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Reads and changes the accepted configurations, current and past. Thread-safe; calls block.
 */
class configuration_repository
{
public:
    virtual ~configuration_repository() = default;

    /** @returns the current configuration; revision 0 with empty content when none was accepted yet. */
    virtual result<configuration_envelope> current() = 0;

    /** @returns the configuration accepted under this revision, or errc::not_found. */
    virtual result<configuration_envelope> at(std::int64_t revision) = 0;

    /** @returns up to limit accepted configurations, newest first. */
    virtual result<std::vector<configuration_envelope>> history(std::size_t limit) = 0;

    /**
     * Stores the content as revision baseRevision + 1, provided that baseRevision is still current.
     * @param baseRevision revision on which the change is based
     * @param author team that makes the change
     * @returns the accepted envelope; errc::conflict when another revision is current; errc::outcome_unknown when it
     *          could not be determined whether the write took effect
     */
    virtual result<configuration_envelope> propose(const configuration &content, std::int64_t baseRevision,
                                                   const std::string &author) = 0;
};

} // namespace bronzechute
