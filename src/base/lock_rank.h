#pragma once

namespace bronzechute {

/**
 * Locking order of mutexes, which prevents deadlocks: a thread may only lock a mutex whose rank is higher than all
 * ranks it holds, so it never holds two mutexes of the same rank.
 */
enum class lock_rank : int {
    role = 10, ///< Starting and stopping a role.
    configuration = 20, ///< Applying a configuration.
    membership = 30, ///< Sets of known endpoints and peers.
    request_table = 40, ///< Map of requests by id.
    request = 50, ///< State of one request.
    queue = 60, ///< Admission and work queues.
    policy = 70, ///< Limits, budgets and scores.
    link_table = 80, ///< Map of connections by peer.
    link = 90, ///< Send queue of one connection.
    backend = 100, ///< Transfers to the local engine or service.
    store = 110, ///< Connections of the store client.
    metrics = 120, ///< Metrics registry.
    leaf = 130, ///< Mutexes under which no other mutex is locked.
};

} // namespace bronzechute
