#include "store/vm_list.h"

#include "store/store_paths.h"

#include <mutex>

namespace bronzechute {

vm_list::vm_list(platform_store &store, std::function<void(const snapshot &)> onChanged)
    : m_onChanged(std::move(onChanged))
{
    m_watch = store.watch(store_paths::vms, [this](const store_event &event) { onEvent(event); });
}

vm_list::snapshot vm_list::current() const
{
    const std::scoped_lock lock(m_mutex);
    return m_current;
}

std::optional<time_point> vm_list::lastReport() const
{
    const std::scoped_lock lock(m_mutex);
    return m_lastReport;
}

std::int64_t vm_list::unreadable() const
{
    const std::scoped_lock lock(m_mutex);
    return m_unreadable;
}

void vm_list::onEvent(const store_event &event)
{
    snapshot changed;
    {
        const std::scoped_lock lock(m_mutex);
        m_lastReport = boot_clock::now();
        m_changed = applyLocked(event) || m_changed;
        // Builds one list per listing; building one per VM would take quadratic time.
        if (event.moreFollow || !m_changed) {
            return;
        }
        auto list = std::make_shared<std::vector<vm>>();
        list->reserve(m_vmsByKey.size());
        for (const auto &[key, entry] : m_vmsByKey) {
            list->push_back(entry);
        }
        m_current = std::move(list);
        m_changed = false;
        changed = m_current;
    }
    if (m_onChanged) {
        m_onChanged(changed);
    }
}

bool vm_list::applyLocked(const store_event &event)
{
    if (event.deleted) {
        return m_vmsByKey.erase(event.entry.key) > 0;
    }
    auto read = vm::parse(event.entry.value);
    if (!read) {
        ++m_unreadable;
        return false;
    }
    const auto known = m_vmsByKey.find(event.entry.key);
    if (known != m_vmsByKey.end() && known->second == read.value()) {
        return false; // The watch repeats all entries after it reconnects.
    }
    m_vmsByKey.insert_or_assign(event.entry.key, std::move(read.value()));
    return true;
}

} // namespace bronzechute
