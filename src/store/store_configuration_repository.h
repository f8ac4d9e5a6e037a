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
 * The current document and its entry in the history are written in one transaction. Writing the history first was
 * weighed: a crash or a lost race between the two writes leaves an entry of a revision that was never accepted, which
 * the next proposal of that revision would have to tell from an accepted one.
 */
class store_configuration_repository : public configuration_repository
{
public:
    /**
     * @param store must outlive this object
     * @param seed for the random marks
     * @param settleTime how long propose() tries to find out what became of a write with an unknown outcome
     */
    store_configuration_repository(platform_store &store, std::uint64_t seed,
                                   std::chrono::milliseconds settleTime = std::chrono::seconds(5));

    result<configuration_envelope> current() override;
    result<configuration_envelope> at(std::int64_t revision) override;

    /** Reads each revision by a call of its own, since a listing returns all of them. */
    result<std::vector<configuration_envelope>> history(std::size_t limit) override;

    result<configuration_envelope> propose(const configuration &content, std::int64_t baseRevision,
                                           const std::string &author) override;

private:
    struct base_version;

    result<base_version> readBase(std::int64_t revision);
    result<configuration_envelope> settle(const configuration_envelope &proposed, const base_version &base);

    platform_store &m_store;
    const std::chrono::milliseconds m_settleTime;
    ranked_mutex m_mutex {lock_rank::leaf};
    std::mt19937_64 m_random;
};

} // namespace bronzechute
