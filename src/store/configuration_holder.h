#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "config/configuration_envelope.h"

#include <functional>
#include <map>

namespace bronzechute {

/** Source from which a process obtained its configuration. */
enum class configuration_source {
    none, ///< No configuration has been applied yet.
    store,
    peer, ///< Another process of the system.
};

/** Holds the active configuration of a process; its revision only increases. Thread-safe. */
class configuration_holder
{
public:
    using subscriber = std::function<void(const configuration_ptr &)>;

    /**
     * Makes the envelope active if its revision is greater than the active one.
     * @returns whether the envelope was applied; all subscribers have been notified by then
     */
    bool apply(configuration_envelope envelope, configuration_source source);

    /** @returns the active envelope; never null, with revision 0 before the first one is applied. */
    configuration_ptr current() const;

    configuration_source source() const;

    /** @returns the time at which the active envelope was applied. */
    time_point appliedAt() const;

    /**
     * Registers a callback for each envelope applied from now on. Callbacks run in order of revision, in the thread
     * that calls apply(). A callback must not call apply(), subscribe() or unsubscribe().
     * @returns a subscription identifier for unsubscribe()
     */
    int subscribe(subscriber onApplied);

    /** Removes a subscription; its callback does not run after this returns. */
    void unsubscribe(int id);

private:
    // Held while subscribers are notified, so that they see revisions in order.
    ranked_mutex m_applyMutex {lock_rank::configuration};
    std::map<int, subscriber> m_subscribers;
    int m_lastSubscriptionId = 0;

    mutable ranked_mutex m_mutex {lock_rank::leaf};
    configuration_ptr m_current = std::make_shared<const configuration_envelope>();
    configuration_source m_source = configuration_source::none;
    time_point m_appliedAt = boot_clock::now();
};

} // namespace bronzechute
