#pragma once

#include "base/boot_clock.h"
#include "store/platform_store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Holds back the deletions that a watch reads after an outage of the store. The leases of live processes may have
 * expired during the outage, and these processes write their keys again only some time after it. A deletion is
 * confirmed once the store has answered again without an interruption for that time and the key is still missing;
 * another outage starts the time anew.
 */
class deferred_deletions
{
public:
    /** Records that the store does not answer. */
    void onOutage();

    /** Records an answer of the store. The first one after an outage starts the recovery time. */
    void onAnswer(time_point now);

    /** @returns whether deletions in the latest answer have to be deferred. */
    bool recovering() const;

    /** Defers a deletion. */
    void defer(store_event deletion);

    /** Drops the deferred deletion of a key that exists again. */
    void onWritten(const std::string &key);

    /** Removes and returns the deletions that the latest answer of the store confirms. */
    std::vector<store_event> takeConfirmed();

    /** @returns when an answer of the store confirms the deferred deletions; nothing while none can be confirmed. */
    std::optional<time_point> dueAt() const;

private:
    bool m_outage = false;
    std::optional<time_point> m_recoveryEnd; ///< Empty before the first outage and during an outage.
    time_point m_answeredAt {};
    std::map<std::string, store_event> m_deferred; ///< By key.
};

} // namespace bronzechute
