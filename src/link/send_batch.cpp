#include "link/send_batch.h"

#include "link/nng_link.h"

#include <algorithm>
#include <utility>

namespace bronzechute {

namespace {

thread_local send_batch *currentBatch = nullptr;

} // namespace

send_batch::send_batch()
{
    currentBatch = this;
}

send_batch::~send_batch()
{
    currentBatch = nullptr;
    for (const auto &connection : m_connections) {
        connection->flush();
    }
}

send_batch *send_batch::current()
{
    return currentBatch;
}

void send_batch::add(std::shared_ptr<nng_link> connection)
{
    if (std::ranges::find(m_connections, connection) == m_connections.end()) {
        m_connections.push_back(std::move(connection));
    }
}

} // namespace bronzechute
