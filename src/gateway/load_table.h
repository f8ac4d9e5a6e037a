#pragma once

#include "balance/endpoint_load.h"
#include "balance/queue_summary.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** A gateway in a load_table. */
struct table_member
{
    std::string host;
    std::size_t dataCentre = 0; ///< Index in table_list::dataCentres.
    int ageMs = 0; ///< Time since the hub heard of it.
    bool knowsHubs = true; ///< False for a process of an earlier version, which needs load reports from all.

    friend bool operator==(const table_member &, const table_member &) = default;
};

/** What the values of a load_table stand for. It is sent when it changes, and at intervals. */
struct table_list
{
    std::vector<std::uint32_t> endpoints; ///< endpointKey() of each one.
    std::vector<std::string> dataCentres;
    std::vector<std::string> hubs; ///< Host of the hub of each data centre; empty if it has none.
    std::vector<table_member> members; ///< The gateways whose load is in the sums.

    friend bool operator==(const table_list &, const table_list &) = default;
};

/**
 * Sums of the loads of several gateways: of one data centre, for the hubs of the others, or of all, for the gateways of
 * the hub's own one. All values are in each table, so that a later one makes up for a lost one.
 */
struct load_table
{
    std::uint64_t incarnation = 0; ///< Of the hub.
    std::uint64_t sequence = 0; ///< Increases with each table of this scope.
    bool ofAll = false; ///< Whether all data centres are in the sums.
    std::uint64_t included = 0; ///< Sequence of the receiver's report that is in the sums; 0 if there is none.
    std::string dataCentre; ///< Of the hub.
    int freshMembers = 0; ///< Gateways of this data centre that the hub has heard lately, itself included.
    int gateways = 0; ///< That the hub knows, itself included.
    std::string coordinator; ///< Host of the coordinator; empty if there is none.
    int coordinatorAgeMs = 0;
    std::uint64_t listNumber = 0;
    std::optional<table_list> list; ///< That of the last one with this number if absent.
    std::vector<endpoint_load> loads; ///< For each of table_list::endpoints.
    std::vector<int> ageMs; ///< Time since each of table_list::dataCentres was heard.
    std::optional<std::map<std::string, queue_summary>> queues; ///< By service; unchanged if absent.
    std::int64_t storeRevision = 0; ///< Up to which the hub knows all changes of the store; 0 if it does not watch it.

    friend bool operator==(const load_table &, const load_table &) = default;
};

} // namespace bronzechute
