#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "config/configuration_envelope.h"

#include <string>

namespace bronzechute {

/**
 * The configuration that a process has in force. Never goes back to an older revision, whatever offers one.
 */
class configuration_holder
{
public:
    configuration_holder();

    /**
     * @param source where the envelope came from, for logs
     * @returns whether the envelope is newer and is in force now
     */
    bool apply(configuration_ptr envelope, const std::string &source);

    /** @returns the configuration in force; revision 0 with empty content when none is known. */
    configuration_ptr current() const;

private:
    mutable ranked_mutex m_mutex {lock_rank::configuration};
    configuration_ptr m_current;
};

} // namespace bronzechute
