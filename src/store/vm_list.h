#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "store/platform_store.h"
#include "store/vm.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * The platform's list of live and leaving VMs, followed by a watch.
 *
 * The list lags behind the VMs themselves, and it stays as it was last known while the store is out. Safe to call from
 * any thread.
 */
class vm_list
{
public:
    using snapshot = std::shared_ptr<const std::vector<vm>>;

    /**
     * @param store must outlive this object
     * @param onChanged told of each new list, in order, from the watch's thread; may be empty
     */
    explicit vm_list(platform_store &store, std::function<void(const snapshot &)> onChanged = {});

    /** @returns the last known list in order of key; never null, empty before the first contact. */
    snapshot current() const;

    /** @returns when the platform last reported a VM, or nothing before the first time. */
    std::optional<time_point> lastReport() const;

    /** @returns how many reported values could not be read; the VM keeps its previous state then. */
    std::int64_t unreadable() const;

private:
    void onEvent(const store_event &event);

    /** @returns whether the event changes the list. */
    bool applyLocked(const store_event &event);

    const std::function<void(const snapshot &)> m_onChanged;
    mutable ranked_mutex m_mutex {lock_rank::leaf};
    std::map<std::string, vm> m_byKey;
    bool m_changed = false; ///< Since m_current was made.
    snapshot m_current = std::make_shared<const std::vector<vm>>();
    std::optional<time_point> m_lastReport;
    std::int64_t m_unreadable = 0;
    std::unique_ptr<store_watch> m_watch; ///< Last, so that it ends before the rest is destroyed.
};

} // namespace bronzechute
