#pragma once

#include "base/boot_clock.h"
#include "store/store_changes.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace bronzechute {

/**
 * Connects a watch of the store with the same watch in other processes, so that one of them reads for all. The watch
 * calls it from its thread, and goes on by itself from the last revision whenever there is no other process to rely on.
 */
class watch_relay
{
public:
    virtual ~watch_relay() = default;

    /**
     * Blocks while another process watches the store and nothing changes, but not after @p until.
     * @param revision store revision up to which the watch knows all changes
     * @param recovering whether the watch defers deletions, since the store did not answer it lately
     * @returns changes after that revision, none if there are none by @p until; nothing if the watch has to read the
     *          store itself now
     */
    virtual std::optional<store_changes> await(std::int64_t revision, bool recovering, time_point until) = 0;

    /**
     * Blocks before a failed request is repeated.
     * @param least time to wait; it is longer while another process tries for this one, and hears no answer either
     */
    virtual void awaitRetry(std::chrono::milliseconds least) = 0;

    /** @returns the longest time for which a request may wait for changes while others rely on this watch; nothing if
     *           none do */
    virtual std::optional<std::chrono::milliseconds> readWait() const = 0;

    /**
     * The watch has read the store itself.
     * @param knownAt time at which the store had no change after the last one of these, at the earliest
     * @param settled whether the store answers in time, and has done so for long enough after its last outage
     */
    virtual void onRead(const store_changes &changes, time_point knownAt, bool settled) = 0;

    /** A request of the watch failed. */
    virtual void onOutage() = 0;

    /** The watch ends; await() no longer blocks. */
    virtual void close() = 0;
};

} // namespace bronzechute
