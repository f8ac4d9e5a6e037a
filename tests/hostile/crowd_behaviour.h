#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace bronzechute {

/** What each caller of a crowd sends. */
struct crowd_behaviour
{
    std::string name;
    std::size_t callers = 0;
    std::string head; ///< Once.
    std::string part; ///< Then this,
    std::size_t parts = 0; ///< so many times.
    std::size_t connections = 1; ///< A caller that is closed connects again until it has made so many.
};

/**
 * @param target path that the crowd asks for
 * @param fields further header fields, each with its line end
 * @param bodyLimit largest body of the users' pages, in bytes
 * @returns all behaviours of the crowds that ended processes of such systems
 */
std::vector<crowd_behaviour> crowdBehaviours(const std::string &target, const std::string &fields,
                                             std::size_t bodyLimit);

} // namespace bronzechute
