#pragma once

#include "base/ranked_mutex.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <optional>
#include <thread>
#include <vector>

namespace bronzechute::standins {

/**
 * The ranks of one group of engines: they begin each pass together, take orders for their expert maps and count the
 * passes that began with two maps. Experts are in demand unevenly, and other ones from time to time.
 */
class rank_passes
{
public:
    using json = nlohmann::json;

    static constexpr std::size_t layers = 2;
    static constexpr std::size_t experts = 8;
    static constexpr std::size_t places = 6; ///< Of a rank, by layer.
    static constexpr std::chrono::milliseconds interval {25}; ///< Of the passes.

    explicit rank_passes(std::size_t ranks);
    ~rank_passes();
    rank_passes(const rank_passes &) = delete;
    rank_passes &operator=(const rank_passes &) = delete;

    json report(std::size_t rank);
    json counts(std::size_t rank, bool lists);

    /** @returns the status of the order's answer. */
    int order(std::size_t rank, const json &request);

    /** Breaks the group: it opens again after the time, in a new epoch and with the first map. */
    void breakFor(std::chrono::milliseconds time);

    /** Blocks until a pass has begun. @returns false when the group broke meanwhile. */
    bool waitForPass();

    bool open();

    /** @returns passes that began while two ranks had different maps. */
    int mixedPasses();

    /** @returns how often a map came in use. */
    int switches();

private:
    struct map_version
    {
        std::int64_t version = 0;
        json experts; ///< By layer and rank.
    };

    struct rank
    {
        map_version map;
        std::optional<map_version> prepared;
        std::int64_t highest = 0; ///< Version of any map that it had.
        std::optional<std::int64_t> armedStep;
        std::optional<std::int64_t> heldStep;
    };

    void run();
    void beginPass();
    int apply(rank &target, const json &request);
    void reset();
    static json firstMap(std::size_t ranks);

    ranked_mutex m_mutex {lock_rank::leaf};
    std::condition_variable_any m_changed;
    std::vector<rank> m_ranks;
    std::int64_t m_step = 0;
    std::int64_t m_epoch = 1;
    std::int64_t m_orders = 0;
    std::optional<std::chrono::steady_clock::time_point> m_opensAt; ///< While broken.
    std::size_t m_hot = 0; ///< Expert most in demand.
    std::vector<double> m_counts; ///< By layer and expert.
    int m_mixedPasses = 0;
    int m_switches = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace bronzechute::standins
