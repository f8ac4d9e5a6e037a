#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "config/configuration_envelope.h"

#include <functional>
#include <map>

namespace bronzechute {

/** Where a process got its configuration from. */
enum class configuration_source {
    none, ///< No configuration yet.
    store,
    peer, ///< Another process of the system.
};

/** The configuration that a process has in force; its revision only rises. Safe to call from any thread. */
class configuration_holder
{
public:
    using subscriber = std::function<void(const configuration_ptr &)>;

    /**
     * Puts the envelope in force if its revision is greater than the one in force.
     * @returns whether it did; subscribers have been told by then.
     */
    bool apply(configuration_envelope envelope, configuration_source source);

    /** @returns the envelope in force; never null, revision 0 before the first one. */
    configuration_ptr current() const;

    configuration_source source() const;

    /** @returns when the envelope in force was applied, on the clock of this process. */
    time_point appliedAt() const;

    /**
     * Calls back with each envelope put in force from now on, in order of revision, in the thread that applies it.
     * A callback must not call apply(), subscribe() or unsubscribe().
     * @returns a number for unsubscribe()
     */
    int subscribe(subscriber onApplied);

    /** No callback runs after this returns. */
    void unsubscribe(int id);

private:
    // Held while subscribers are told, so that they see revisions in order.
    ranked_mutex m_applyMutex {lock_rank::configuration};
    std::map<int, subscriber> m_subscribers;
    int m_lastSubscriber = 0;

    mutable ranked_mutex m_mutex {lock_rank::leaf};
    configuration_ptr m_current = std::make_shared<const configuration_envelope>();
    configuration_source m_source = configuration_source::none;
    time_point m_appliedAt = boot_clock::now();
};

} // namespace bronzechute
