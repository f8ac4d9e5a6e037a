#pragma once

#include <cstdint>
#include <string>

namespace bronzechute::standins {

/**
 * A TCP port on the loopback address that the kernel gives to nobody else for the life of this object. Nothing listens
 * on it, so connections are refused, until a process binds it by number with SO_REUSEADDR, as nng's listeners do.
 */
class reserved_port
{
public:
    /** Throws std::system_error when the kernel has no port. */
    reserved_port();
    ~reserved_port();
    reserved_port(const reserved_port &) = delete;
    reserved_port &operator=(const reserved_port &) = delete;

    std::uint16_t number() const
    {
        return m_number;
    }

    /** @returns "127.0.0.1:PORT". */
    std::string address() const;

private:
    int m_descriptor = -1; ///< Bound, never listening.
    std::uint16_t m_number = 0;
};

} // namespace bronzechute::standins
