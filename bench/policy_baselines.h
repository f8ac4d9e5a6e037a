#pragma once

#include "policy/endpoint_chooser.h"

#include <algorithm>
#include <vector>

namespace bronzechute::policy_model {

enum class baseline { random, round_robin, least_requests };

/** The usual selections without shared state, over the endpoints whose status is fresh. */
class baseline_chooser : public endpoint_chooser
{
public:
    explicit baseline_chooser(baseline kind) : m_kind(kind)
    {
    }

    std::optional<std::size_t> choose(std::span<const endpoint_candidate> candidates, const choice_request &request,
                                      std::mt19937_64 &random) override
    {
        std::vector<std::size_t> usable;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const endpoint_candidate &each = candidates[index];
            const bool tried = std::find(request.tried.begin(), request.tried.end(), each.name) != request.tried.end();
            if (each.state == serving_state::serving && each.statusAge <= std::chrono::seconds(2) && !tried) {
                usable.push_back(index);
            }
        }
        if (usable.empty()) {
            return std::nullopt;
        }
        if (m_kind == baseline::round_robin) {
            return usable[m_next++ % usable.size()];
        }
        std::shuffle(usable.begin(), usable.end(), random);
        if (m_kind == baseline::random) {
            return usable.front();
        }
        return *std::min_element(usable.begin(), usable.end(), [&](std::size_t left, std::size_t right) {
            return candidates[left].ownInFlight < candidates[right].ownInFlight;
        });
    }

private:
    const baseline m_kind;
    std::size_t m_next = 0;
};

} // namespace bronzechute::policy_model
