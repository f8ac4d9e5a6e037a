#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "endpoint/running_request.h"
#include "link/link_handler.h"
#include "observe/log_tracer.h"
#include "observe/metrics.h"
#include "policy/admission_limiter.h"
#include "policy/endpoint_status.h"
#include "policy/fair_queue.h"
#include "request/attempt_register.h"
#include "settings/daemon_settings.h"
#include "store/configuration_holder.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace bronzechute {

/**
 * Admits requests to the engine beside this process: the one place that knows what runs there. Refuses, queues, starts
 * and cancels attempts, and answers for each whether it was started.
 */
class endpoint_gate final : public request_observer
{
public:
    endpoint_gate(const daemon_settings &settings, std::shared_ptr<back_end> engine,
                  std::unique_ptr<admission_limiter> limiter, const configuration_holder &configuration,
                  metrics_registry &metrics);

    void onSubmit(const link_ptr &connection, const submit_frame &submit, time_point now);
    void onCancel(const link_ptr &connection, const cancel_frame &cancel, time_point now);
    void onResume(const link_ptr &connection, const resume_frame &resume, time_point now);
    void onCredit(const credit_frame &credit);

    /** The connection is down: its queued attempts are dropped, its running ones wait for a resume. */
    void onDisconnected(const link_ptr &connection, time_point now);

    void onRequestEnded(const attempt_id &id, const answer_sample &sample, bool mayHaveRun) override;

    /** Expires queued attempts, cancels those whose entry is gone, forgets what is delivered. */
    void maintain(time_point now);

    /** Passes on what the engine shows about its load. */
    void onLoadReport(const back_end_load &load, time_point now);

    /** An entry remembers the warm speed of an earlier process of this endpoint. */
    void onRememberedPace(const warm_pace &remembered, time_point now);

    /** Refuses new work and what still waits from now on. */
    void leave(time_point now);

    /** Applies that operators took this endpoint out (what waits is refused) or brought it back (it is cold then). */
    void onConfiguration(time_point now);

    endpoint_status status(time_point now) const;

    /** @returns requests that run or wait, or whose answer the entry may not have yet. */
    std::size_t unfinished() const;

private:
    struct waiting_attempt
    {
        submit_frame submit;
        link_ptr connection;
    };

    std::optional<refusal_reason> refusalLocked(const submit_frame &submit, time_point now) const;
    bool outOfService() const;
    void refuseLocked(const link_ptr &connection, const attempt_id &id, refusal_reason reason, time_point now);
    void refuseAllWaitingLocked(refusal_reason reason, time_point now);
    /** @returns the mean time between two starts, or zero when it is unknown. */
    boot_clock::duration startIntervalLocked(time_point now) const;
    void refuseWaitingLocked(const request_id &id, refusal_reason reason, time_point now);
    void startReadyLocked(time_point now);
    void startLocked(waiting_attempt attempt, time_point now);

    const daemon_settings m_settings;
    const std::shared_ptr<back_end> m_engine;
    const configuration_holder &m_configuration;
    metrics_registry &m_metrics;
    const std::shared_ptr<log_tracer> m_tracer;

    mutable ranked_mutex m_mutex {lock_rank::request_table};
    std::unique_ptr<admission_limiter> m_limiter;
    attempt_register m_register;
    fair_queue m_queue;
    std::map<request_id, waiting_attempt> m_waiting;
    std::map<attempt_id, std::shared_ptr<running_request>> m_running; ///< Including ended ones not yet delivered.
    std::mt19937_64 m_random;
    int m_active = 0; ///< Requests at the engine.
    double m_meanServiceMs = 0;
    back_end_load m_load;
    bool m_leaving = false;
    bool m_wasOutOfService = false;
};

} // namespace bronzechute
