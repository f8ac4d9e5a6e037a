#pragma once

#include "base/boot_clock.h"
#include "gateway/store_message.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace bronzechute {

/** Decides what the gateway that watches the store tells the others, and when. Has no clock of its own. */
class relay_announcer
{
public:
    /** Largest size of the changes in a message. Whoever relies on this gateway reads larger ones itself. */
    static constexpr std::size_t maxChangeBytes = 16000;

    /** @param incarnation random id of the process */
    explicit relay_announcer(std::uint64_t incarnation);

    /** Begins to tell the others what is read from now on. */
    void start();

    /** @copydoc watch_relay::onRead @param keep whether the others are to be told */
    void onRead(const store_changes &changes, time_point knownAt, bool settled, bool keep);

    /** The store does not answer. */
    void onOutage();

    /** The watcher of another data centre has read all changes up to a revision. */
    void hearOther(std::int64_t revision, time_point now);

    /** @returns whether the watcher of another data centre shows when this one misses a change. */
    bool isChecked(time_point now) const;

    /** @returns the revision up to which all changes are known; 0 while the store does not answer. */
    std::int64_t revision(time_point now) const;

    /** @returns the messages that are due. */
    std::vector<store_message> takeDue(time_point now);

private:
    bool isAnswering(time_point now) const;
    bool isSettled(time_point now) const;
    store_message makeMessage(time_point now);
    void addChanges(const store_changes &changes, time_point now, std::vector<store_message> &messages);

    const std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::int64_t m_revision = 0;
    time_point m_knownAt {};
    bool m_answering = false;
    bool m_settled = false;
    bool m_saidAnswering = false;
    bool m_saidSettled = false;
    std::int64_t m_otherRevision = 0; ///< The highest one that watchers of other data centres named.
    time_point m_otherHeardAt {};
    std::optional<time_point> m_behindSince; ///< Since when the other one is higher than the own one.
    time_point m_sentAt {};
    std::deque<store_changes> m_unsent;
};

} // namespace bronzechute
