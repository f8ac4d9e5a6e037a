#pragma once

#include "admin/admin_api.h"
#include "admin/status_source.h"
#include "base/result.h"
#include "entry/dispatcher.h"
#include "entry/endpoint_directory.h"
#include "entry/entry_metrics.h"
#include "entry/idempotency_guard.h"
#include "entry/pending_table.h"
#include "entry/request_classifier.h"
#include "entry/session_table.h"
#include "http/http_server.h"
#include "link/link_hub.h"
#include "node/configuration_exchange.h"
#include "node/health_handler.h"
#include "node/node_role.h"
#include "observe/log_tracer.h"
#include "observe/metrics.h"
#include "settings/daemon_settings.h"
#include "store/claim_registry.h"
#include "store/configuration_holder.h"
#include "store/configuration_repository.h"
#include "store/configuration_watcher.h"
#include "store/incarnation_lease.h"
#include "store/platform_store.h"
#include "store/vm_list.h"

#include <atomic>
#include <memory>
#include <optional>
#include <random>

namespace bronzechute {

/** Accepts requests over HTTP and relays them to endpoints. */
class entry_role final : public node_role, public link_handler, public http_handler, public status_source
{
public:
    static result<std::unique_ptr<entry_role>> start(const daemon_settings &settings, const hello_frame &self);
    ~entry_role() override;

    std::string addresses() const override;
    bool drain() override;

    void onUp(const link_ptr &connection) override;
    void onFrame(const link_ptr &connection, frame message) override;
    void onDown(const link_ptr &connection, const std::string &reason) override;
    heartbeat_frame makeHeartbeat() override;

    http_reply handle(const http_request &request) override;
    nlohmann::json status() override;

private:
    entry_role(const daemon_settings &settings, const hello_frame &self);

    /** Creates the store client and the idempotency guard. Without configured store addresses there is no store. */
    void connectStore();

    /** Subscribes to changes of the configuration and of the VM list in the store. */
    void watchStore();
    result<void> startAdmin();
    void onVmList(const vm_list::snapshot &vms);
    void onAnswerFrame(const frame &message);
    http_reply listModels(const http_request &request);
    request_id newRequestId();

    /** @returns the newest state that the caller has seen, from the request's session header or the session table. */
    std::optional<read_session> sessionOf(const http_request &request, const caller_request &classified);

    /** Records the session of the answer and sends it to the other entries. */
    void recordSession(const caller_request &request, http_reply &reply);

    const daemon_settings m_settings;
    const hello_frame m_self;
    metrics_registry m_metrics;
    entry_metrics m_entryMetrics;
    configuration_holder m_configuration;
    endpoint_directory m_directory;
    pending_table m_pending;
    session_table m_sessions;
    const std::shared_ptr<log_tracer> m_tracer;
    ranked_mutex m_entriesMutex {lock_rank::link_table};
    std::vector<link_ptr> m_entries; ///< Connections to other entries.
    dispatcher m_dispatcher;
    request_classifier m_classifier;
    configuration_exchange m_exchange;
    health_handler m_health;
    std::unique_ptr<link_hub> m_hub;
    std::unique_ptr<platform_store> m_store;
    std::unique_ptr<platform_store> m_claimStore; ///< Batches the writes of concurrent claims.
    std::unique_ptr<configuration_watcher> m_watcher;
    std::unique_ptr<incarnation_lease> m_incarnationLease;
    std::unique_ptr<claim_registry> m_claims;
    std::unique_ptr<idempotency_guard> m_guard;
    std::unique_ptr<vm_list> m_vmList;
    int m_subscription = 0;
    std::unique_ptr<configuration_repository> m_repository;
    std::unique_ptr<admin_api> m_admin;
    std::unique_ptr<http_server> m_adminServer;
    std::unique_ptr<http_server> m_server;
    std::atomic<bool> m_draining {false};
    ranked_mutex m_randomMutex {lock_rank::leaf};
    std::mt19937_64 m_random;
};

} // namespace bronzechute
