#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "standins/rank_passes.h"
#include "standins/routed_endpoint_options.h"
#include "standins/scripted_server.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace bronzechute::standins {

/**
 * Stand-in of an endpoint of the users' platform: plain requests, streams that may be resumed, slots, cold start and
 * the orders of rank groups. It keeps what reached it, so that a test can check what gateways promise.
 *
 * POST /standin/faults takes shares of the requests as numbers from 0 to 1: `lose_answers` (run, then closed without
 * an answer), `cut_answers` (cut in the middle), `garble` (bytes that are no answer), `fail` (run; statuses 500 and
 * 503 by turns) and `refuse` (status 503, not run); of the orders `late_orders` (carried out later and not answered);
 * further `deadly_parts` (an array; the process ends when it begins to answer a prompt with one), `break_group_ms`,
 * `cold_ms` and `leave_after_ms` (time after which a request counts as arriving too late); `say_leaving`, `pause_ms`
 * (requests are refused for so long, with the time that is left) and `claim_pause_s` (they are refused from now on,
 * each time with this pause). GET /standin/stats shows the runs by request id.
 *
 * On standard output it writes a line "run ID ACCOUNT" for each run, and "violation MS KIND ID" when a request arrives
 * after the endpoint has left or beyond its rate while cold, with the time of boot_clock in milliseconds. What an
 * answer says about the endpoint is written as "stated MS ENDPOINT ID leaving" or "stated MS ENDPOINT ID pause MS",
 * and each request from then on as "arrival MS ENDPOINT ID".
 */
class routed_endpoint
{
public:
    /** @param group null for an endpoint without ranks */
    routed_endpoint(routed_endpoint_options options, std::shared_ptr<rank_passes> group, std::size_t rank);

    /** @returns "127.0.0.1:PORT". */
    std::string address() const
    {
        return m_server.address();
    }

    /** @returns how long the endpoint stays cold. */
    std::chrono::milliseconds coldRemaining();

    /** Requests that arrive later than the time from now on are violations. */
    void leaveAfter(std::chrono::milliseconds time);

    /** From now on, each answer says that the endpoint is leaving. */
    void sayLeaving();

private:
    struct fault_shares
    {
        double loseAnswers = 0;
        double cutAnswers = 0;
        double garble = 0;
        double fail = 0;
        double refuse = 0;
        double lateOrders = 0;
    };

    bool serve(const scripted_request &request, raw_connection &connection);
    bool serveControl(const scripted_request &request, raw_connection &connection);
    bool serveRank(const scripted_request &request, raw_connection &connection);
    bool run(const scripted_request &request, raw_connection &connection, const fault_shares &faults);
    bool stream(const scripted_request &request, raw_connection &connection, const fault_shares &faults);
    /** @returns the header field of an answer that says whether the endpoint leaves. */
    std::string leavingField(const std::string &id);
    /** @returns the pause that the answer to a request asks for, if it is refused with one. */
    std::optional<std::chrono::milliseconds> takePause(const std::string &id);
    void writeStatement(const std::string &id, const std::string &what);
    bool isDeadly(const std::string &prompt);
    bool waitForSlot();
    void noteArrival(const std::string &id);
    void noteRun(const scripted_request &request);
    void inject(const nlohmann::json &faults);
    std::string stats();
    bool happens(double share);

    const routed_endpoint_options m_options;
    const std::shared_ptr<rank_passes> m_group;
    const std::size_t m_rank;
    ranked_mutex m_mutex {lock_rank::leaf};
    std::condition_variable_any m_slotFree;
    int m_running = 0;
    int m_queued = 0;
    fault_shares m_faults;
    std::vector<std::string> m_deadlyParts;
    std::mt19937_64 m_random;
    time_point m_coldUntil;
    std::optional<time_point> m_leftAt;
    bool m_saysLeaving = false;
    time_point m_pauseEnd {};
    std::chrono::seconds m_claimedPause {0}; ///< 0: none.
    bool m_hasStated = false; ///< An answer has said something.
    int m_failures = 0; ///< Requests that ran and were answered with a failure.
    std::deque<time_point> m_coldArrivals;
    std::map<std::string, int> m_runs; ///< By request id.
    std::vector<std::jthread> m_lateOrders;
    scripted_server m_server;
};

} // namespace bronzechute::standins
