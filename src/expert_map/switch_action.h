#pragma once

#include "expert_map/store_exchange.h"
#include "expert_map/switch_message.h"

#include <variant>
#include <vector>

namespace bronzechute {

/** A request to load the missing weights of a map; its completion is reported to rank_switch_state::onLoaded(). */
struct load_request
{
    map_id map = 0;
    map_id previousMap = 0; ///< Also needed by a rank that joins before the group reaches firstStep; 0 for none.

    friend bool operator==(const load_request &, const load_request &) = default;
    friend auto operator<=>(const load_request &, const load_request &) = default;
};

/** An action that a protocol state machine requests of its caller: send a message, call the store or load weights. */
using switch_action = std::variant<switch_message, store_request, load_request>;
using switch_actions = std::vector<switch_action>;

} // namespace bronzechute
