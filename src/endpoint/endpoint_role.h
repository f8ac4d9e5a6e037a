#pragma once

#include "backend/http_back_end.h"
#include "backend/transfer_loop.h"
#include "base/result.h"
#include "endpoint/admission_controller.h"
#include "http/http_server.h"
#include "link/link_hub.h"
#include "node/configuration_exchange.h"
#include "node/health_handler.h"
#include "node/node_role.h"
#include "observe/metrics.h"
#include "settings/daemon_settings.h"

#include <condition_variable>
#include <memory>
#include <thread>

namespace bronzechute {

/**
 * Runs an endpoint process next to an engine or plain service: accepts connections from entries, controls admission and
 * probes the engine.
 */
class endpoint_role final : public node_role, public link_handler
{
public:
    static result<std::unique_ptr<endpoint_role>> start(const daemon_settings &settings, const hello_frame &self);
    ~endpoint_role() override;

    std::string addresses() const override;
    bool drain() override;

    void onUp(const link_ptr &connection) override;
    void onFrame(const link_ptr &connection, frame message) override;
    void onDown(const link_ptr &connection, const std::string &reason) override;
    heartbeat_frame makeHeartbeat() override;

private:
    explicit endpoint_role(const daemon_settings &settings);

    void maintain();
    void probe();

    /** Waits for the duration or until the process stops. @returns false when it stops. */
    bool waitFor(std::chrono::milliseconds duration);

    const daemon_settings m_settings;
    metrics_registry m_metrics;
    configuration_holder m_configuration;
    std::shared_ptr<http_back_end> m_engine;
    admission_controller m_admission;
    configuration_exchange m_exchange;
    health_handler m_health;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<link_hub> m_hub;

    ranked_mutex m_mutex {lock_rank::role};
    std::condition_variable_any m_wakeup;
    bool m_stopping = false;
    std::thread m_maintenanceThread;
    std::thread m_probeThread;
};

} // namespace bronzechute
