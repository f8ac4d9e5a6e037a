#pragma once

#include "base/ranked_mutex.h"
#include "base/result.h"
#include "http/http_server.h"
#include "standins/engine_batch.h"
#include "standins/fault_board.h"
#include "standins/model_engine_options.h"

#include <atomic>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace bronzechute::standins {

/**
 * An OpenAI-compatible engine that batches continuously.
 *
 * Serves POST /v1/chat/completions and /v1/completions, GET /v1/models, /health and /metrics. Control: POST
 * /standin/faults (see fault_board), GET /standin/stats. The text of a token is tokenText() of prompt and index.
 */
class model_engine : public http_handler
{
public:
    static result<std::unique_ptr<model_engine>> start(const model_engine_options &options);

    ~model_engine() override;

    std::uint16_t port() const
    {
        return m_server->port();
    }

    std::string url() const;

    fault_board &faults()
    {
        return m_faults;
    }

    engine_batch &batch()
    {
        return m_batch;
    }

    http_reply handle(const http_request &request) override;

private:
    explicit model_engine(const model_engine_options &options);

    http_reply complete(const http_request &request, bool chat);
    http_reply metrics();
    http_reply stats();
    void watchClients();

    const model_engine_options m_options;
    fault_board m_faults;
    engine_batch m_batch;
    std::atomic<std::uint64_t> m_number {0};
    std::string m_startTime;
    ranked_mutex m_mutex {lock_rank::request_table};
    std::condition_variable_any m_stopping;
    bool m_stopped = false;
    std::map<std::string, std::uint64_t> m_runs; ///< Requests run by X-Request-Id.
    std::vector<nlohmann::json> m_order; ///< Prompt and priority of the first requests, in order of arrival.
    std::unique_ptr<http_server> m_server;
    std::thread m_watcher;
};

} // namespace bronzechute::standins
