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
#include "request/attempt_registry.h"
#include "settings/daemon_settings.h"
#include "store/configuration_holder.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace bronzechute {

/**
 * Controls the admission of requests to the engine of this endpoint process. It refuses, queues, starts and cancels
 * attempts, and keeps a record of each, so that an entry can learn whether an attempt was started. Safe to use from
 * several threads.
 */
class admission_controller final : public request_observer
{
public:
    admission_controller(const daemon_settings &settings, std::shared_ptr<back_end> engine,
                         std::unique_ptr<admission_limiter> limiter, const configuration_holder &configuration,
                         metrics_registry &metrics);

    void onSubmit(const link_ptr &connection, const submit_frame &submit, time_point now);
    void onCancel(const link_ptr &connection, const cancel_frame &cancel, time_point now);
    void onResume(const link_ptr &connection, const resume_frame &resume, time_point now);
    void onCredit(const credit_frame &credit);

    /** Handles a lost connection: drops its queued attempts and lets its running ones wait for a resume. */
    void onDisconnected(const link_ptr &connection, time_point now);

    void onRequestEnded(const attempt_id &id, const answer_sample &sample, bool mayHaveRun) override;

    /** Expires queued attempts, cancels running ones whose entry did not resume, and removes delivered answers. */
    void maintain(time_point now);

    /** Passes a load report of the engine to the limiter. */
    void onLoadReport(const back_end_load &load, time_point now);

    /** Handles the warm pace of an earlier process of this endpoint, which an entry sends to a new process. */
    void onRememberedPace(const warm_pace &remembered, time_point now);

    /** Refuses new requests and all queued ones from now on. */
    void stopAccepting(time_point now);

    /**
     * Applies a change of the configuration. Refuses all queued requests when operators took this endpoint out of
     * service; treats the engine as cold when they brought it back.
     */
    void onConfiguration(time_point now);

    endpoint_status status(time_point now) const;

    /** @returns the number of requests that are queued, running or not known to be delivered to the entry. */
    std::size_t unfinishedCount() const;

private:
    /** An attempt that waits for its start. */
    struct queued_attempt
    {
        submit_frame submit;
        link_ptr connection;
    };

    /** @returns why a submit must be refused, or nothing when it may be queued. */
    std::optional<refusal_reason> refusalReasonLocked(const submit_frame &submit, time_point now) const;
    bool isOutOfService() const;
    void refuseLocked(const link_ptr &connection, const attempt_id &id, refusal_reason reason, time_point now);
    void refuseAllQueuedLocked(refusal_reason reason, time_point now);

    /** @returns the mean time between two starts, or zero when it is unknown. */
    boot_clock::duration startIntervalLocked(time_point now) const;
    void refuseQueuedLocked(const request_id &id, refusal_reason reason, time_point now);
    void startQueuedLocked(time_point now);
    void startLocked(queued_attempt attempt, time_point now);

    const daemon_settings m_settings;
    const std::shared_ptr<back_end> m_engine;
    const configuration_holder &m_configuration;
    metrics_registry &m_metrics;
    const std::shared_ptr<log_tracer> m_tracer;

    mutable ranked_mutex m_mutex {lock_rank::request_table};
    std::unique_ptr<admission_limiter> m_limiter;
    attempt_registry m_registry;
    fair_queue m_queue;
    std::map<request_id, queued_attempt> m_queuedAttempts;
    std::map<attempt_id, std::shared_ptr<running_request>>
        m_running; ///< Includes ended ones that are not delivered yet.
    std::mt19937_64 m_random;
    int m_engineRequests = 0; ///< Number of requests at the engine.
    double m_meanServiceMs = 0;
    back_end_load m_load;
    bool m_leaving = false;
    bool m_wasOutOfService = false;
};

} // namespace bronzechute
