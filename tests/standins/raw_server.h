#pragma once

#include "base/ranked_mutex.h"
#include "standins/raw_connection.h"

#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace bronzechute::standins {

/** A TCP server on the loopback address that runs a function on a thread for each connection, then closes it. */
class raw_server
{
public:
    using connection_function = std::function<void(raw_connection &connection, int index)>;

    /** @param port on the loopback address; 0: the kernel chooses */
    explicit raw_server(connection_function function, std::uint16_t port = 0);
    ~raw_server();
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;

    std::string url() const;

private:
    void accept();

    connection_function m_function;
    int m_listenSocket = -1;
    std::uint16_t m_port = 0;
    ranked_mutex m_mutex {lock_rank::leaf};
    std::vector<int> m_open; ///< Descriptors; shut down at the end, so that no function blocks.
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace bronzechute::standins
