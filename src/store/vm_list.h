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
 * The platform's list of live and leaving VMs, kept up to date by a watch on the store.
 *
 * The list lags behind the actual state of the VMs and keeps its last known content while the store is unavailable.
 * Thread-safe.
 */
class vm_list
{
public:
    using snapshot = std::shared_ptr<const std::vector<vm>>;

    /**
     * @param store must outlive this object
     * @param onChanged called with each new list, in order, from the thread of the watch; may be empty
     */
    explicit vm_list(platform_store &store, std::function<void(const snapshot &)> onChanged = {});

    /** @returns the last known list, ordered by store key; never null, empty before the first report. */
    snapshot current() const;

    /** @returns the time of the last event from the store, or nothing before the first one. */
    std::optional<time_point> lastReport() const;

    /** @returns the number of reported values that could not be parsed; such a VM keeps its previous state. */
    std::int64_t unreadable() const;

private:
    void onEvent(const store_event &event);

    /** Applies the event to m_vmsByKey. Must be called with m_mutex held. @returns whether the list changed. */
    bool applyLocked(const store_event &event);

    const std::function<void(const snapshot &)> m_onChanged;
    mutable ranked_mutex m_mutex {lock_rank::leaf};
    std::map<std::string, vm> m_vmsByKey;
    bool m_changed = false; ///< Whether m_vmsByKey has changed since m_current was built.
    snapshot m_current = std::make_shared<const std::vector<vm>>();
    std::optional<time_point> m_lastReport;
    std::int64_t m_unreadable = 0;
    std::unique_ptr<store_watch> m_watch; ///< Last member, so that it is destroyed before the state its callback uses.
};

} // namespace bronzechute
