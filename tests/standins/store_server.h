#pragma once

#include "base/ranked_mutex.h"
#include "http/http_server.h"
#include "standins/store_faults.h"
#include "standins/store_state.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <string>

namespace bronzechute::standins {

/**
 * Stand-in of the platform's store: the JSON mapping of the etcd v3 API, in memory, with fault injection.
 *
 * POST /standin/faults takes the fields of store_faults and the single actions `lapse_leases` (bool), `rollback`
 * (revision) and `silence_watches` (bool: watches open now send nothing more, their connections stay open).
 * GET /standin/stats counts calls by kind, writes and open watches.
 */
class store_server : public http_handler
{
public:
    /** @param port 0: the kernel chooses */
    static result<std::unique_ptr<store_server>> start(std::uint16_t port = 0);

    ~store_server() override;

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_server->port());
    }

    std::uint16_t port() const
    {
        return m_server->port();
    }

    /** @param faults as the body of POST /standin/faults */
    void inject(const nlohmann::json &faults);

    /** @returns as the body of GET /standin/stats. */
    nlohmann::json stats();

    http_reply handle(const http_request &request) override;

private:
    friend class store_watch_source;

    http_reply answerCall(const std::string &kind, const nlohmann::json &request);
    http_reply openWatch(const nlohmann::json &request);
    nlohmann::json dispatch(const std::string &kind, const nlohmann::json &request);

    ranked_mutex m_mutex {lock_rank::leaf};
    std::condition_variable_any m_changed;
    store_state m_state;
    store_faults m_faults;
    std::map<std::string, std::int64_t> m_calls;
    std::int64_t m_writes = 0;
    time_point m_nextWrite; ///< Earliest time of the next write under a rate limit.
    int m_openWatches = 0;
    int m_silenceCount = 0; ///< Watches opened before the last of these stay silent.
    int m_closeCount = 0; ///< Watches opened before the last of these are cut.
    bool m_stopping = false;
    std::unique_ptr<http_server> m_server;
};

} // namespace bronzechute::standins
