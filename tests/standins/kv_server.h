#pragma once

#include "base/ranked_mutex.h"
#include "http/http_server.h"
#include "standins/kv_state.h"
#include "standins/store_faults.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <string>

namespace bronzechute::standins {

/**
 * Stand-in of the users' key-value store: its HTTP interface, in memory, with fault injection.
 *
 * POST /standin/faults takes the fields of store_faults, `page_size` (items of a page) and the single actions
 * `drop_history`, `cut_watches`, `copy` and `return_from_copy` (bool): the state goes back to that of the last copy,
 * and the era in the answers rises. GET /standin/stats counts calls by path.
 */
class kv_server : public http_handler
{
public:
    /** @param port 0: the kernel chooses */
    static result<std::unique_ptr<kv_server>> start(std::uint16_t port = 0);

    ~kv_server() override;

    std::uint16_t port() const
    {
        return m_server->port();
    }

    /** @param faults as the body of POST /standin/faults */
    void inject(const nlohmann::json &faults);

    http_reply handle(const http_request &request) override;

private:
    /** Adds the era to an answer. */
    http_reply inEra(http_reply reply) const;
    http_reply answerCall(const http_request &request);
    kv_answer dispatch(const http_request &request);
    http_reply watch(const http_request &request);

    ranked_mutex m_mutex {lock_rank::leaf};
    std::condition_variable_any m_changed;
    kv_state m_state;
    kv_state m_copy;
    store_faults m_faults;
    std::size_t m_pageSize = 500;
    std::map<std::string, std::int64_t> m_calls;
    int m_cutCount = 0; ///< Watches that began before the last of these are cut.
    bool m_stopping = false;
    std::unique_ptr<http_server> m_server;
};

} // namespace bronzechute::standins
