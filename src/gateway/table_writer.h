#pragma once

#include "base/boot_clock.h"
#include "gateway/load_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bronzechute {

/** Makes the successive tables of one scope: when one is due, and when it needs its list. Has no clock of its own. */
class table_writer
{
public:
    table_writer();

    /**
     * @param table everything but sequence, list number, list and loads
     * @param list everything but the endpoints
     */
    std::optional<load_table> next(load_table table, table_list list,
                                   const std::map<std::uint32_t, endpoint_load> &loads, time_point now);

    /**
     * Spaces the tables out so that they take at most a rate.
     * @param receivers number of gateways that each table is sent to
     */
    void setPace(std::size_t receivers, double maxBytesPerSecond);

    /** Accounts for the size of a table that was sent, from which setPace() reckons. */
    void noteSize(std::size_t bytes, bool hasList)
    {
        (hasList ? m_listBytes : m_tableBytes) = bytes;
    }

    /** @returns whether the time since the last table allows for another one. */
    bool mayBeDue(time_point now) const;

    /** @returns the list of the last table. */
    const table_list &list() const
    {
        return m_list;
    }

    /** The next table has its list, as a receiver is new. */
    void repeatList()
    {
        m_listRepetitions = 2;
    }

private:
    static bool sameMembers(const table_list &left, const table_list &right);

    boot_clock::duration m_tableInterval;
    boot_clock::duration m_listInterval;
    std::size_t m_tableBytes = 0; ///< Of the last table without a list.
    std::size_t m_listBytes = 0; ///< Of the last one with a list.
    std::uint64_t m_sequence = 0;
    std::uint64_t m_listNumber = 0;
    table_list m_list;
    std::vector<endpoint_load> m_loads;
    int m_listRepetitions = 0; ///< A list that is new is sent more than once in case a datagram is lost.
    time_point m_listSentAt {};
    time_point m_sentAt {};
};

} // namespace bronzechute
