#pragma once

#include "base/boot_clock.h"
#include "expert_map/demand_tracker.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Decides which ranks' counts are read when, and estimates demand from them. While demand is steady, one rank is
 * watched, which is enough to notice a shift. From a shift on, the counts of several ranks are collected for a short
 * time, because the selections of one rank of a large group in that time are too few, and too much those of its few
 * requests, to say which experts are in demand.
 *
 * Each reading delays the whole group of the rank, so that the number of ranks follows from how much a rank counts, and
 * a second, longer collection follows only if the first one was thin.
 */
class demand_sampler
{
public:
    /**
     * @param ranks ids of the engines that can be asked, in a stable order
     * @param slowed whether passes have just become longer, as they do after a shift
     * @returns the engines whose counts should be read now; the caller reports each outcome
     */
    std::vector<std::string> due(const std::vector<std::string> &ranks, bool slowed, time_point now);

    demand_tracker::change record(const std::string &rank, const rank_counts &counts, time_point now);

    /** The rank did not answer. */
    void onFailure(const std::string &rank);

    /** @returns the demand to plan with; null while it is unknown or being collected. */
    const load_matrix *demand(time_point now) const;

    /** @returns when the estimate last changed considerably: after a shift, or as it became much more precise. */
    time_point changedAt() const
    {
        return m_changedAt;
    }

    /** @returns the selections for each expert on which the estimate rests, as a mean. */
    double selectionsPerExpert() const
    {
        return m_tracker.selectionsPerExpert();
    }

private:
    enum class phase : std::uint8_t {
        watching, ///< One rank's counts are read.
        starting, ///< The counts of the ranks to collect from are read once, to count from there.
        collecting, ///< The first of them is read until it has counted a pass, and then the others.
        refining, ///< They are read once more after a longer time.
    };

    bool answersOutstanding(time_point now) const;
    void selectRanks(const std::vector<std::string> &ranks);
    std::vector<std::string> read(std::vector<std::string> ranks, boot_clock::duration untilNext, time_point now);
    void beginCollection(time_point now);
    void noteChange(time_point now);

    demand_tracker m_tracker;
    phase m_phase = phase::watching;
    std::string m_watched;
    std::vector<std::string> m_collected; ///< Ranks from which demand is collected.
    std::set<std::string> m_outstanding; ///< Ranks that were asked and did not answer yet.
    std::size_t m_firstRank = 0; ///< Changes with each collection, so that all ranks are asked in turn.
    double m_selectionsPerSecond = 0; ///< For each expert, at the watched rank; 0 when unknown.
    double m_selectionsAtChange = 0; ///< selectionsPerExpert() at m_changedAt; 0 after a shift.
    int m_collections = 0; ///< Readings of all ranks in the present collection.
    int m_polls = 0; ///< Readings of the first one since.
    bool m_countedPass = false; ///< Whether the first one has counted a pass since.
    time_point m_alarmAt {}; ///< When the watched rank was last read as passes had become longer.
    time_point m_sampledAt {}; ///< Start of the watched rank's next sample.
    time_point m_readAt {};
    time_point m_dueAt {};
    time_point m_changedAt {};
};

} // namespace bronzechute
