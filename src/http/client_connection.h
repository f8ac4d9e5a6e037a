#pragma once

namespace bronzechute {

/** The connection over which a request came. */
class client_connection
{
public:
    virtual ~client_connection() = default;

    /** @returns whether the client has closed the connection, so that nobody reads the answer. */
    virtual bool closedByClient() const = 0;
};

} // namespace bronzechute
