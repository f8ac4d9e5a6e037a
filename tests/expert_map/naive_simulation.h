#pragma once

#include "step_check.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace bronzechute {

/**
 * Simulation of an unsafe protocol, used to verify the check for two maps in one step: the command "activate the map at
 * step S" without promises. Three ranks and one coordinator; each command may be late or lost, with no
 * other faults.
 */
class naive_simulation
{
public:
    struct event
    {
        enum class kind : std::uint8_t { step, deliver, drop } what = kind::step;
        std::size_t rank = 0;
    };

    explicit naive_simulation(int drops) : m_drops(drops)
    {
    }

    std::vector<event> events() const
    {
        std::vector<event> events;
        const auto slowest = std::min_element(m_ranks.begin(), m_ranks.end(),
                                              [](const auto &a, const auto &b) { return a.nextStep < b.nextStep; });
        for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
            if (m_ranks[rank].nextStep == slowest->nextStep && slowest->nextStep <= 4) {
                events.push_back({event::kind::step, rank});
            }
            if (m_ranks[rank].commandInFlight) {
                events.push_back({event::kind::deliver, rank});
                if (m_drops > 0) {
                    events.push_back({event::kind::drop, rank});
                }
            }
        }
        return events;
    }

    void apply(const event &next)
    {
        auto &rank = m_ranks[next.rank];
        switch (next.what) {
        case event::kind::step:
            m_check.enter(rank.nextStep, rank.commanded && rank.nextStep >= switchStep ? 2 : 1);
            ++rank.nextStep;
            break;
        case event::kind::deliver:
            rank.commanded = true;
            rank.commandInFlight = false;
            break;
        case event::kind::drop:
            --m_drops;
            rank.commandInFlight = false;
            break;
        }
    }

    bool violated() const
    {
        return m_check.violated;
    }

    std::uint64_t digest() const
    {
        std::vector<std::uint64_t> words {static_cast<std::uint64_t>(m_drops)};
        for (const auto &rank : m_ranks) {
            words.push_back(rank.nextStep * 4 + (rank.commanded ? 2 : 0) + (rank.commandInFlight ? 1 : 0));
        }
        return XXH3_64bits(words.data(), words.size() * sizeof(std::uint64_t));
    }

private:
    struct rank_state
    {
        std::uint64_t nextStep = 1;
        bool commanded = false;
        bool commandInFlight = true;
    };

    static constexpr std::uint64_t switchStep = 3;
    int m_drops;
    std::vector<rank_state> m_ranks = std::vector<rank_state>(3);
    step_check m_check;
};

} // namespace bronzechute
