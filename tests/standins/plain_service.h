#pragma once

#include "base/ranked_mutex.h"
#include "base/result.h"
#include "http/http_server.h"
#include "standins/fault_board.h"
#include "standins/order_book.h"
#include "standins/plain_service_options.h"

#include <atomic>
#include <condition_variable>
#include <memory>

namespace bronzechute::standins {

/**
 * An order book over HTTP: POST /orders with {"text": …} books, GET /orders and GET /orders/{id} read; X-Version in
 * each answer is the number of writes. GET /health. Control: POST /standin/faults (see fault_board), GET
 * /standin/stats. A stalled service books once it is released; one that never answers books at once.
 */
class plain_service : public http_handler
{
public:
    static result<std::unique_ptr<plain_service>> start(const plain_service_options &options);

    ~plain_service() override;

    std::uint16_t port() const
    {
        return m_server->port();
    }

    std::string url() const;

    fault_board &faults()
    {
        return m_faults;
    }

    order_book &orders()
    {
        return m_orders;
    }

    http_reply handle(const http_request &request) override;

private:
    explicit plain_service(const plain_service_options &options);

    http_reply answer(const http_request &request);
    http_reply book(const http_request &request);
    http_reply stats();
    void work();

    const plain_service_options m_options;
    fault_board m_faults;
    order_book m_orders;
    std::atomic<int> m_coldRequests;
    std::atomic<int> m_active {0};
    std::atomic<int> m_peak {0};
    std::atomic<int> m_peakWhileCold {0};
    std::unique_ptr<http_server> m_server;
};

} // namespace bronzechute::standins
