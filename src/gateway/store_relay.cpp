#include "gateway/store_relay.h"

#include "observe/log.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace bronzechute {

namespace {

// The others must learn soon when the store does not answer this gateway, so its requests are short, unless the
// watchers of other data centres show whether there are changes.
constexpr std::chrono::milliseconds watcherReadWait {400};
constexpr std::chrono::milliseconds checkedReadWait {1000};

} // namespace

store_relay::store_relay(std::uint64_t incarnation) : m_announcer(incarnation), m_follower(incarnation)
{
}

void store_relay::setWake(std::function<void()> wake)
{
    const std::scoped_lock lock(m_mutex);
    m_wake = std::move(wake);
}

std::optional<store_changes> store_relay::nextLocked(std::int64_t revision, bool recovering, time_point now)
{
    if (m_closed || m_part != relay_part::member) {
        return std::nullopt;
    }
    const bool wasFollowing = m_follower.isFollowing();
    auto changes = m_follower.next(revision, recovering, now);
    if (changes && changes->revision > revision) {
        ++m_counts.relayed;
    } else if (!changes && wasFollowing) {
        ++(m_follower.isGap() ? m_counts.gaps : m_counts.losses);
    }
    return changes;
}

std::optional<store_changes> store_relay::next(std::int64_t revision, bool recovering, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    return nextLocked(revision, recovering, now);
}

std::optional<store_changes> store_relay::await(std::int64_t revision, bool recovering, time_point until)
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        const time_point now = boot_clock::now();
        auto changes = nextLocked(revision, recovering, now);
        const bool isRelayed = changes.has_value();
        const bool isOver = !changes || changes->revision > revision || now >= until;
        const bool isGap = !isRelayed && m_part == relay_part::member && m_follower.isGap();
        if (isRelayed != m_reportedRelayed && !isGap && !m_closed) {
            m_reportedRelayed = isRelayed;
            const relay_part part = m_part;
            const char *const cause = m_follower.cause();
            lock.unlock(); // Writing the log may take a while.
            logChange(isRelayed, part, cause, revision);
            lock.lock();
            if (!isOver) {
                continue; // Something may have arrived meanwhile.
            }
        }
        if (isOver) {
            return changes;
        }
        m_changed.wait_for(lock, std::min(m_follower.nextCheck(now), until) - now);
    }
}

time_point store_relay::retryAt(std::chrono::milliseconds least, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    return std::max<time_point>(now + least, m_part == relay_part::member ? m_follower.patientUntil(now) : now);
}

bool store_relay::isAnswered(time_point now) const
{
    const std::scoped_lock lock(m_mutex);
    return m_part == relay_part::member && m_follower.isAnswered(now);
}

void store_relay::awaitRetry(std::chrono::milliseconds least)
{
    const time_point began = boot_clock::now();
    const time_point latest = retryAt(least, began);
    std::unique_lock lock(m_mutex);
    for (time_point now = boot_clock::now(); now < latest && !m_closed; now = boot_clock::now()) {
        if (now < began + least) {
            m_changed.wait_for(lock, began + least - now);
        } else if (m_part != relay_part::member || m_follower.isAnswered(now)) {
            return;
        } else {
            m_changed.wait_for(lock, latest - now);
        }
    }
}

void store_relay::logChange(bool isRelayed, relay_part part, const char *cause, std::int64_t revision)
{
    if (isRelayed) {
        logLine(log_level::info, "store", "another gateway watches the store for this one", {{"revision", revision}});
    } else if (part == relay_part::watcher) {
        logLine(log_level::info, "store", "this gateway watches the store for its data centre",
                {{"revision", revision}});
    } else {
        logLine(log_level::info, "store", "this gateway watches the store itself",
                {{"revision", revision}, {"cause", part == relay_part::alone ? "few gateways" : cause}});
    }
}

std::optional<std::chrono::milliseconds> store_relay::readWait() const
{
    const std::scoped_lock lock(m_mutex);
    if (m_part != relay_part::watcher) {
        return std::nullopt;
    }
    return m_announcer.isChecked(boot_clock::now()) ? checkedReadWait : watcherReadWait;
}

void store_relay::onRead(const store_changes &changes, time_point knownAt, bool settled)
{
    std::function<void()> wake;
    {
        const std::scoped_lock lock(m_mutex);
        const bool isWatcher = m_part == relay_part::watcher;
        ++m_counts.ownReads;
        m_announcer.onRead(changes, knownAt, settled, isWatcher);
        if (isWatcher && changes.revision > changes.after) {
            wake = m_wake;
        }
    }
    if (wake) {
        wake();
    }
}

void store_relay::onOutage()
{
    std::function<void()> wake;
    {
        const std::scoped_lock lock(m_mutex);
        m_announcer.onOutage();
        if (m_part == relay_part::watcher) {
            wake = m_wake;
        }
    }
    if (wake) {
        wake();
    }
}

void store_relay::close()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_closed = true;
        m_changed.notify_all();
    }
    onOutage(); // The others need not wait until they miss this gateway.
}

void store_relay::setPart(relay_part part, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    m_follower.tick(now);
    if (part == m_part) {
        return;
    }
    m_part = part;
    m_follower.clear();
    if (part == relay_part::watcher) {
        m_announcer.start();
    }
    m_changed.notify_all();
}

void store_relay::hear(const std::string &host, const store_message &message, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    m_follower.hear(host, message, now);
    if (message.changes || !message.settled || message.revision > m_heardRevision) {
        m_heardRevision = std::max(m_heardRevision, message.revision);
        m_changed.notify_all();
    }
}

void store_relay::hearOther(std::int64_t revision, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    if (revision > 0) {
        m_announcer.hearOther(revision, now);
    }
}

std::int64_t store_relay::watchedRevision(time_point now) const
{
    const std::scoped_lock lock(m_mutex);
    return m_part == relay_part::watcher ? m_announcer.revision(now) : 0;
}

std::vector<store_message> store_relay::takeDue(time_point now)
{
    const std::scoped_lock lock(m_mutex);
    return m_part == relay_part::watcher ? m_announcer.takeDue(now) : std::vector<store_message> {};
}

store_relay_counts store_relay::counts() const
{
    const std::scoped_lock lock(m_mutex);
    store_relay_counts counts = m_counts;
    counts.isFollowing = m_part == relay_part::member && m_follower.isFollowing();
    return counts;
}

} // namespace bronzechute
