#pragma once

#include "store/etcd_connection.h"
#include "store/platform_store.h"

#include <memory>

namespace bronzechute {

/**
 * platform_store implementation over the JSON gateway of the etcd v3 API.
 *
 * A watch expects a progress notification at least once per watchIdleTimeout; etcd sends them at the interval set by
 * --watch-progress-notify-interval. With a longer interval an idle watch is reopened every watchIdleTimeout, which
 * costs one read and one watch call but misses no change.
 */
class etcd_store : public platform_store
{
public:
    /** @param options must name at least one endpoint */
    explicit etcd_store(etcd_store_options options);

    result<std::optional<store_entry>> get(const std::string &key) override;
    result<std::vector<store_entry>> list(const std::string &prefix) override;
    result<std::int64_t> compareAndSwap(const std::string &key, std::int64_t expectedModRevision,
                                        const std::string &value, lease_id lease = 0) override;
    result<std::int64_t> compareAndSwapAll(const std::vector<store_write> &writes) override;
    std::vector<result<std::int64_t>> compareAndSwapEach(const std::vector<store_write> &writes) override;
    result<void> compareAndDelete(const std::string &key, std::int64_t expectedModRevision) override;
    result<lease_id> grantLease(std::chrono::seconds timeToLive) override;
    result<void> keepAlive(lease_id lease) override;
    result<void> revokeLease(lease_id lease) override;
    std::unique_ptr<store_watch> watch(const std::string &prefix,
                                       std::function<void(const store_event &)> onEvent) override;

private:
    std::shared_ptr<etcd_connection> m_connection;
};

} // namespace bronzechute
