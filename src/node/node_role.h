#pragma once

#include "settings/daemon_settings.h"

#include <string>

namespace bronzechute {

/** A running role of the daemon. */
class node_role
{
public:
    virtual ~node_role() = default;

    /** @returns where the process listens, as "http=HOST:PORT …". */
    virtual std::string addresses() const = 0;

    /**
     * Takes no new work, finishes what is in flight within the drain timeout and returns.
     * @returns whether everything in flight was finished
     */
    virtual bool drain() = 0;

    /** Takes over what may change while the process runs; roles without such settings do nothing. */
    virtual void reload(const daemon_settings & /*settings*/)
    {
    }
};

} // namespace bronzechute
