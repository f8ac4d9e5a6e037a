#pragma once

#include "base/boot_clock.h"

#include <cstddef>

namespace bronzechute {

/** Kinds of control traffic, in the order in which they are given up when there is too much of it. */
enum class control_kind {
    queues, ///< Summaries of queues.
    table, ///< Loads; the next table makes up for one that was left out.
    membership, ///< Lists of gateways and endpoints, greetings, reports of members.
    news, ///< States of rank groups and crash evidence.
};

/** Limits the control traffic of a gateway to a rate with bursts; no kind goes beyond it. Has no clock of its own. */
class control_budget
{
public:
    /** Sets the sustained rate; the burst is what passes in 2 s, and never less than the largest datagram. */
    void setRate(double bytesPerSecond);

    /** @returns whether a datagram of this kind may be sent. Each kind leaves a reserve to those after it. */
    bool allows(control_kind kind, std::size_t bytes, time_point now);

    /** Accounts for a datagram that is sent. */
    void spend(std::size_t bytes);

private:
    double m_rate = 0;
    double m_burst = 0;
    double m_left = 0;
    time_point m_refilledAt {};
};

} // namespace bronzechute
