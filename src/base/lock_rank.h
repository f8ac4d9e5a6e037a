#pragma once

namespace bronzechute {

/**
 * The order in which a thread may lock mutexes: from lower to higher values only, never two of one rank.
 */
enum class lock_rank : int {
    role = 10, ///< Start and stop of a role.
    configuration = 20, ///< Putting a configuration in force.
    membership = 30, ///< Which endpoints and peers are known.
    request_table = 40, ///< Requests by id.
    request = 50, ///< One request's state.
    queue = 60, ///< Admission and work queues.
    policy = 70, ///< Limits, budgets, scores.
    link_table = 80, ///< Connections by peer.
    link = 90, ///< One connection's send queue.
    backend = 100, ///< Transfers to the local engine or service.
    store = 110, ///< The store adapter's connections.
    metrics = 120, ///< Metric families.
    leaf = 130, ///< Locks under which nothing else is called.
};

} // namespace bronzechute
