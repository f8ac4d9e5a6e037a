#include "store/grouping_store.h"

#include <mutex>
#include <set>

namespace bronzechute {

namespace {

// Below etcd's default limit of 1.5 MiB for a request.
constexpr std::size_t groupBytesLimit = std::size_t {1000} * 1000;

} // namespace

grouping_store::grouping_store(platform_store &store) : m_store(store)
{
}

result<std::int64_t> grouping_store::compareAndSwap(const std::string &key, std::int64_t expectedModRevision,
                                                    const std::string &value, lease_id lease)
{
    waiting_write own {{key, expectedModRevision, value, lease}, std::nullopt};
    std::unique_lock lock(m_mutex);
    m_waiting.push_back(&own);
    while (!own.answer) {
        if (m_sending) {
            m_answered.wait(lock);
            continue;
        }
        m_sending = true;
        const std::vector<waiting_write *> group = takeGroup();
        lock.unlock();
        std::vector<store_write> writes;
        writes.reserve(group.size());
        for (const waiting_write *member : group) {
            writes.push_back(member->write);
        }
        const auto answers = m_store.compareAndSwapEach(writes);
        lock.lock();
        for (std::size_t index = 0; index < group.size(); ++index) {
            group[index]->answer = answers[index];
        }
        m_sending = false;
        m_answered.notify_all();
    }
    return std::move(*own.answer);
}

// Called with the mutex held. A second write of a key stays for the next group, since a transaction may write a key
// only once.
std::vector<grouping_store::waiting_write *> grouping_store::takeGroup()
{
    std::vector<waiting_write *> group;
    std::set<std::string> keys;
    std::size_t bytes = 0;
    std::deque<waiting_write *> left;
    for (waiting_write *candidate : m_waiting) {
        const std::size_t size = candidate->write.key.size() + candidate->write.value.size();
        const bool fits = group.empty() || (group.size() < maxGroup && bytes + size <= groupBytesLimit);
        if (fits && keys.insert(candidate->write.key).second) {
            bytes += size;
            group.push_back(candidate);
        } else {
            left.push_back(candidate);
        }
    }
    m_waiting = std::move(left);
    return group;
}

result<std::optional<store_entry>> grouping_store::get(const std::string &key)
{
    return m_store.get(key);
}

result<std::vector<store_entry>> grouping_store::list(const std::string &prefix)
{
    return m_store.list(prefix);
}

result<std::int64_t> grouping_store::compareAndSwapAll(const std::vector<store_write> &writes)
{
    return m_store.compareAndSwapAll(writes);
}

std::vector<result<std::int64_t>> grouping_store::compareAndSwapEach(const std::vector<store_write> &writes)
{
    return m_store.compareAndSwapEach(writes);
}

result<void> grouping_store::compareAndDelete(const std::string &key, std::int64_t expectedModRevision)
{
    return m_store.compareAndDelete(key, expectedModRevision);
}

result<lease_id> grouping_store::grantLease(std::chrono::seconds timeToLive)
{
    return m_store.grantLease(timeToLive);
}

result<void> grouping_store::keepAlive(lease_id lease)
{
    return m_store.keepAlive(lease);
}

result<void> grouping_store::revokeLease(lease_id lease)
{
    return m_store.revokeLease(lease);
}

std::unique_ptr<store_watch> grouping_store::watch(const std::string &prefix,
                                                   std::function<void(const store_event &)> onEvent)
{
    return m_store.watch(prefix, std::move(onEvent));
}

} // namespace bronzechute
