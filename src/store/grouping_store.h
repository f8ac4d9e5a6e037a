#pragma once

#include "base/ranked_mutex.h"
#include "store/platform_store.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <optional>

namespace bronzechute {

/**
 * platform_store that sends the single writes of concurrent callers in groups, one call to the store for each group.
 *
 * A group is formed from the writes that arrive while the previous group is under way, so a lone write waits for
 * nothing. Each write keeps its own comparison in the store; a failed call gives its outcome to the whole group.
 */
class grouping_store : public platform_store
{
public:
    /** @param store must outlive this object */
    explicit grouping_store(platform_store &store);

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
    struct waiting_write
    {
        store_write write;
        std::optional<result<std::int64_t>> answer;
    };

    std::vector<waiting_write *> takeGroup();

    platform_store &m_store;
    ranked_mutex m_mutex {lock_rank::store};
    std::condition_variable_any m_answered;
    std::deque<waiting_write *> m_waiting;
    bool m_sending = false;
};

} // namespace bronzechute
