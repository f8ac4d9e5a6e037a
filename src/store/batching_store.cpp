#include "store/batching_store.h"

#include <mutex>
#include <set>

namespace bronzechute {

namespace {

// Below the default request size limit of etcd, 1.5 MiB.
constexpr std::size_t maxBatchBytes = std::size_t {1000} * 1000;

} // namespace

batching_store::batching_store(platform_store &store) : m_store(store)
{
}

result<std::int64_t> batching_store::compareAndSwap(const std::string &key, std::int64_t expectedModRevision,
                                                    const std::string &value, lease_id lease)
{
    queued_write ownWrite {{key, expectedModRevision, value, lease}, std::nullopt};
    std::unique_lock lock(m_mutex);
    m_queue.push_back(&ownWrite);
    while (!ownWrite.outcome) {
        if (m_sending) {
            m_batchFinished.wait(lock);
            continue;
        }
        m_sending = true;
        const std::vector<queued_write *> batch = takeBatch();
        lock.unlock();
        std::vector<store_write> writes;
        writes.reserve(batch.size());
        for (const queued_write *queued : batch) {
            writes.push_back(queued->write);
        }
        const auto results = m_store.compareAndSwapEach(writes);
        lock.lock();
        for (std::size_t index = 0; index < batch.size(); ++index) {
            batch[index]->outcome = results[index];
        }
        m_sending = false;
        m_batchFinished.notify_all();
    }
    return std::move(*ownWrite.outcome);
}

std::vector<batching_store::queued_write *> batching_store::takeBatch()
{
    std::vector<queued_write *> batch;
    std::set<std::string> keys;
    std::size_t bytes = 0;
    std::deque<queued_write *> remaining;
    for (queued_write *candidate : m_queue) {
        const std::size_t size = candidate->write.key.size() + candidate->write.value.size();
        const bool fits = batch.empty() || (batch.size() < maxBatchSize && bytes + size <= maxBatchBytes);
        if (fits && keys.insert(candidate->write.key).second) {
            bytes += size;
            batch.push_back(candidate);
        } else {
            remaining.push_back(candidate);
        }
    }
    m_queue = std::move(remaining);
    return batch;
}

result<std::optional<store_entry>> batching_store::get(const std::string &key)
{
    return m_store.get(key);
}

result<std::vector<store_entry>> batching_store::list(const std::string &prefix)
{
    return m_store.list(prefix);
}

result<std::int64_t> batching_store::compareAndSwapAll(const std::vector<store_write> &writes)
{
    return m_store.compareAndSwapAll(writes);
}

std::vector<result<std::int64_t>> batching_store::compareAndSwapEach(const std::vector<store_write> &writes)
{
    return m_store.compareAndSwapEach(writes);
}

result<void> batching_store::compareAndDelete(const std::string &key, std::int64_t expectedModRevision)
{
    return m_store.compareAndDelete(key, expectedModRevision);
}

result<lease_id> batching_store::grantLease(std::chrono::seconds timeToLive)
{
    return m_store.grantLease(timeToLive);
}

result<void> batching_store::keepAlive(lease_id lease)
{
    return m_store.keepAlive(lease);
}

result<void> batching_store::revokeLease(lease_id lease)
{
    return m_store.revokeLease(lease);
}

std::unique_ptr<store_watch> batching_store::watch(const std::string &prefix,
                                                   std::function<void(const store_event &)> onEvent)
{
    return m_store.watch(prefix, std::move(onEvent));
}

} // namespace bronzechute
