#pragma once

#include "settings/daemon_settings.h"

#include <string>

namespace bronzechute {

/** A role that the daemon process runs. */
class node_role
{
public:
    virtual ~node_role() = default;

    /** @returns the listening addresses of the process, as "http=HOST:PORT …". */
    virtual std::string addresses() const = 0;

    /**
     * Stops accepting work and waits for the requests in flight, at most for the drain timeout.
     * @returns whether all requests in flight finished
     */
    virtual bool drain() = 0;

    /** Applies the settings that may change at run time; the default implementation does nothing. */
    virtual void reload(const daemon_settings & /*settings*/)
    {
    }
};

} // namespace bronzechute
