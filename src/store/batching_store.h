#pragma once

#include "base/ranked_mutex.h"
#include "store/platform_store.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <optional>

namespace bronzechute {

/**
 * platform_store decorator that batches the single writes of concurrent callers into one store call.
 *
 * A batch consists of the writes that arrive while the previous batch is in flight, so a write without concurrent ones
 * is not delayed. Each write keeps its own compare condition; when the call fails, all writes of the batch fail alike.
 */
class batching_store : public platform_store
{
public:
    /** @param store must outlive this object */
    explicit batching_store(platform_store &store);

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
    struct queued_write
    {
        store_write write;
        std::optional<result<std::int64_t>> outcome;
    };

    /**
     * Removes the next batch from the queue. A second write to a key stays queued for a later batch, since a
     * transaction may write a key only once. Must be called with m_mutex held.
     */
    std::vector<queued_write *> takeBatch();

    platform_store &m_store;
    ranked_mutex m_mutex {lock_rank::store};
    std::condition_variable_any m_batchFinished;
    std::deque<queued_write *> m_queue;
    bool m_sending = false;
};

} // namespace bronzechute
