#pragma once

#include "base/ranked_mutex.h"
#include "store/configuration_repository.h"
#include "store/platform_store.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

namespace bronzechute {

/**
 * configuration_repository in the platform's store.
 *
 * The current document and its history entry are written in one transaction. With two separate writes, a crash or a
 * lost race between them would leave a history entry of a revision that was never accepted, and the next proposal of
 * that revision would have to distinguish it from an accepted one.
 */
class store_configuration_repository : public configuration_repository
{
public:
    /**
     * @param store must outlive this object
     * @param seed seeds the random write identifiers
     * @param resolveTimeout how long propose() keeps trying to resolve a write with an unknown outcome
     */
    store_configuration_repository(platform_store &store, std::uint64_t seed,
                                   std::chrono::milliseconds resolveTimeout = std::chrono::seconds(5));

    result<configuration_envelope> current() override;
    result<configuration_envelope> at(std::int64_t revision) override;

    /** Reads each revision with a separate call, since a listing would return all of them regardless of the limit. */
    result<std::vector<configuration_envelope>> history(std::size_t limit) override;

    result<configuration_envelope> propose(const configuration &content, std::int64_t baseRevision,
                                           const std::string &author) override;

private:
    struct base_version;

    /** @param revision the proposed revision, whose history entry is read too */
    result<base_version> readBase(std::int64_t revision);

    /** Writes the proposal, and retries or reads back until its outcome is known or the time is over. */
    result<configuration_envelope> writeUntilResolved(const configuration_envelope &proposed, const base_version &base);

    platform_store &m_store;
    const std::chrono::milliseconds m_resolveTimeout;
    ranked_mutex m_mutex {lock_rank::leaf};
    std::mt19937_64 m_random;
};

} // namespace bronzechute
