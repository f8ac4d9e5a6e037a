#pragma once

#include "gateway/kept_table.h"
#include "gateway/peer_loads.h"
#include "gateway/sent_report.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Load tables that hubs sent, and the sums that follow from them. Bounded, whoever sends. Has no clock of its own.
 *
 * A table is either of all gateways, from a hub of this data centre, or of the gateways of another data centre, from
 * its hub.
 */
class known_tables
{
public:
    /** Remembers a report, so that this gateway's part can be taken out of a sum that contains it. */
    void rememberReport(sent_report report);

    /** @returns when the report with a sequence number was sent; nothing if it is too old. */
    std::optional<time_point> reportSentAt(std::uint64_t sequence) const;

    /** @returns whether a table is later than the kept one of its sender. What an earlier process sent is forgotten. */
    bool isNews(const std::string &host, const load_table &table);

    /**
     * Keeps a table for which isNews() was true.
     * @returns the kept table; null if the list that its values belong to was lost
     */
    const kept_table *keep(const std::string &host, load_table table, time_point now);

    /** @returns the tables of the other data centres, one of each. */
    std::vector<const kept_table *> ofOtherDataCentres(time_point now) const;

    /** @returns the tables of all hubs of other data centres that are heard. */
    std::vector<const kept_table *> heardOfOtherDataCentres(time_point now) const;

    /**
     * @param isHub whether this gateway is the hub of its data centre
     * @param followed host of its hub otherwise; empty if there is none
     * @param ownGateways gateways of this data centre that report here, this one included
     * @returns the tables to go by
     */
    std::vector<const kept_table *> used(bool isHub, const std::string &followed, std::size_t ownGateways,
                                         time_point now) const;

    /** @returns the work of the other gateways, of the tables and of the peers that these do not contain. */
    std::map<std::uint32_t, endpoint_load> loads(const std::vector<const kept_table *> &tables, const peer_loads &peers,
                                                 time_point now) const;

    /** @returns the queues of the other gateways by service, likewise. */
    std::map<std::string, queue_summary> queues(const std::vector<const kept_table *> &tables, const peer_loads &peers,
                                                time_point now) const;

private:
    using tables_by_host = std::map<std::string, kept_table>;

    static bool isCurrent(const kept_table &kept, time_point now);
    static std::set<std::string> coveredBy(const std::vector<const kept_table *> &tables);
    static void forgetOutdated(tables_by_host &tables, time_point now);

    const sent_report *sentReport(std::uint64_t sequence) const;

    tables_by_host m_ofAll; ///< From hubs of this data centre.
    tables_by_host m_ofDataCentres; ///< From hubs of the others.
    std::deque<sent_report> m_sentReports;
};

} // namespace bronzechute
