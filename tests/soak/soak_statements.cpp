#include "soak/soak_statements.h"

#include <algorithm>
#include <map>

namespace bronzechute::soak {

namespace {

using std::chrono::milliseconds;

// The users' rule on pauses: from then on, and this many requests at most.
constexpr milliseconds pauseGrace {500};
constexpr int pauseTolerance = 2;

class statement_check
{
public:
    explicit statement_check(const soak_evidence &evidence) : m_evidence(evidence)
    {
        for (const call_record &call : evidence.calls) {
            m_calls.emplace(call.id, &call);
        }
    }

    void check(std::vector<std::string> &findings) const
    {
        for (const endpoint_saying &saying : m_evidence.sayings) {
            const call_record *asked = callOf(saying.id);
            if (asked == nullptr) {
                continue;
            }
            if (saying.pause) {
                checkPause(saying, asked->gateway, findings);
            } else if (asked->saidLeaving) {
                checkLeaving(saying, *asked, findings);
            }
        }
    }

private:
    const call_record *callOf(const std::string &id) const
    {
        const auto found = m_calls.find(id);
        return found == m_calls.end() ? nullptr : found->second;
    }

    bool disturbed(const std::string &part, time_point from, time_point until) const
    {
        return std::ranges::any_of(m_evidence.disturbances, [&](const disturbance &each) {
            return each.part == part && each.from <= until && each.until >= from;
        });
    }

    /** @returns whether an arrival is a request of the gateway at the process that has spoken. */
    bool concerns(const endpoint_saying &saying, const std::string &gateway, const endpoint_arrival &arrival) const
    {
        const call_record *call = callOf(arrival.id);
        return arrival.endpoint == saying.endpoint && arrival.run == saying.run && call != nullptr
            && call->gateway == gateway;
    }

    // A gateway acts on the statement before it passes the answer on, which is stricter than the users' rule.
    void checkLeaving(const endpoint_saying &saying, const call_record &passedOn,
                      std::vector<std::string> &findings) const
    {
        for (const endpoint_arrival &arrival : m_evidence.arrivals) {
            if (concerns(saying, passedOn.gateway, arrival) && callOf(arrival.id)->sentAt > passedOn.endedAt
                && !disturbed(processOf(passedOn.gateway), passedOn.endedAt, arrival.at)) {
                findings.push_back("request to an endpoint that said to leave: " + arrival.id + " from "
                                   + passedOn.gateway + " to " + arrival.endpoint + ", after " + saying.id);
            }
        }
    }

    void checkPause(const endpoint_saying &saying, const std::string &gateway, std::vector<std::string> &findings) const
    {
        const time_point from = saying.at + pauseGrace;
        const time_point until = saying.at + *saying.pause;
        int count = 0;
        time_point last = saying.at;
        for (const endpoint_arrival &arrival : m_evidence.arrivals) {
            if (concerns(saying, gateway, arrival) && arrival.at >= from && arrival.at <= until) {
                ++count;
                last = std::max(last, arrival.at);
            }
        }
        const bool excused =
            disturbed(processOf(gateway), saying.at, last) || disturbed(saying.endpoint, saying.at, last);
        if (count > pauseTolerance && !excused) {
            findings.push_back(std::to_string(count) + " requests in a pause: from " + gateway + " to "
                               + saying.endpoint + ", after " + saying.id);
        }
    }

    const soak_evidence &m_evidence;
    std::map<std::string, const call_record *> m_calls;
};

} // namespace

void checkStatements(const soak_evidence &evidence, std::vector<std::string> &findings)
{
    statement_check(evidence).check(findings);
}

} // namespace bronzechute::soak
