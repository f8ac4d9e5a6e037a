#pragma once

namespace bronzechute {

/** The connection on which a request was received. */
class client_connection
{
public:
    virtual ~client_connection() = default;

    /** @returns whether the client has closed the connection and can no longer receive the response. */
    virtual bool closedByClient() const = 0;
};

} // namespace bronzechute
