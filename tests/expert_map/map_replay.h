#pragma once

#include "expert_map/demand_sampler.h"
#include "expert_map/group_switch.h"
#include "expert_map/map_change.h"
#include "expert_map/step_time_trend.h"
#include "expert_map/switch_schedule.h"
#include "routing/engine_profile.h"
#include "simulated_demand.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzechute {

/** What fails in a replay, from the moment at which a switch arms the group's ranks, for 4 s. */
enum class replay_fault {
    none,
    silent_rank, ///< A rank answers no reading of its counts; from the start and for good.
    coordinator_killed, ///< Another one takes over after 3 s and knows nothing.
    coordinator_frozen, ///< It goes on afterwards.
    answers_lost, ///< Commands arrive, and their outcomes are unknown.
    lease_lost, ///< The coordinator may finish its switch and begins no other.
    formed_anew, ///< The group forms in a new epoch, with its initial map.
};

/** A rank group with its coordinator's decisions in simulated time; commands and readings take a few ms. */
class map_replay
{
public:
    map_replay(const demand_shape &shape, const engine_profile &profile, replay_fault fault, std::uint64_t seed);

    void run(boot_clock::duration time);
    void shift();

    /** @returns the skew of the present demand with the map that is in use. */
    double skew() const;

    /** @returns the lowest skew that was found for the present demand by a long search from the map in use. */
    double bestSkew() const;

    std::string violation; ///< Empty unless a pass used two maps.
    bool faultEnded = false;
    int readings = 0; ///< Of counts.
    int switches = 0; ///< That completed.

private:
    struct engine
    {
        std::int64_t map = 0;
        std::int64_t prepared = 0;
        std::int64_t copiedVersion = 0;
        time_point copiedAt {};
        std::int64_t armedVersion = 0;
        std::int64_t armedStep = 0;
    };

    void beginPass();
    void coordinate();
    void plan(time_point now);
    void advance();
    bool apply(const addressed_command &command);
    void takeOver();
    bool inFault() const;

    demand_shape m_shape;
    engine_profile m_profile;
    replay_fault m_fault;
    simulated_demand m_demand;
    std::vector<engine> m_engines;
    std::map<std::int64_t, expert_map> m_maps; ///< By version.
    std::int64_t m_epoch = 1;
    std::int64_t m_step = 0;
    std::map<time_point, std::int64_t> m_steps; ///< Steps by the times at which they began.
    std::optional<std::int64_t> m_held;
    time_point m_now {std::chrono::hours {1}};
    time_point m_passEndsAt {m_now};
    time_point m_faultFrom {};
    boot_clock::duration m_passTime {}; ///< Of the pass in progress.
    boot_clock::duration m_lastPassTime {};
    step_time_trend m_stepTimes;

    demand_sampler m_sampler;
    switch_schedule m_schedule;
    std::optional<group_switch> m_switch;
    std::multimap<time_point, std::string> m_failures; ///< Ranks that do not answer, by the end of their time.
    std::int64_t m_version = 0; ///< Highest version issued.
    std::int64_t m_switchStep = 0;
    time_point m_heldSince {};
};

} // namespace bronzechute
