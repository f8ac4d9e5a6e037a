#pragma once

#include "gateway/crash_detector.h"
#include "gateway/gateway_metrics.h"
#include "gateway/quarantine_observer.h"
#include "quarantine/part_quarantine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Keeps requests from the endpoints that they would crash. Connects what the requests of this gateway show, what the
 * other gateways and the store know, and the decisions of part_quarantine. Used from the thread of the event loop.
 */
class crash_guard
{
public:
    crash_guard(boost::asio::io_context &loop, gateway_metrics &metrics);

    /**
     * @param onOwnCrash called after requests of this gateway showed a crash, which the others should know soon
     * @param onQuarantine called after a part was quarantined, or a quarantine ended
     */
    void setListeners(std::function<void()> onOwnCrash, std::function<void()> onQuarantine);

    /** @returns the quarantined part because of which a request must not be sent, if there is one. */
    std::optional<quarantined_part> blocking(std::span<const std::string> parts) const;

    /** @returns whether endpoints have recently come beyond the beginning of answers with each of the parts. */
    bool areAnswered(std::span<const std::string> parts) const;

    /** @returns whether endpoints have recently answered requests with each of the parts to the end. */
    bool areWhollyAnswered(std::span<const std::string> parts) const;

    /** A request that is not blocked is sent. @param request told of quarantines until onAttemptEnd() */
    void onSend(const std::shared_ptr<quarantine_observer> &request);

    void onAttemptEnd(const quarantine_observer &request);

    /** An endpoint came beyond the beginning of its answer to a request with these parts. */
    void onAnswerBegun(std::span<const std::string> parts);

    /** An endpoint answered a request with these parts to the end. */
    void onAnswered(std::span<const std::string> parts);

    /** @copydoc crash_detector::onUnanswered */
    void onUnanswered(const gateway_endpoint &endpoint, crash_suspect suspect, attempt_end end);

    /** The endpoint refused a connection. */
    void onRefusedConnection(const gateway_endpoint &endpoint);

    /** The directory lists a later start of the endpoint. */
    void onRestart(const endpoint_run &ended);

    /** Judges the crashes; called in short intervals. */
    void update();

    /** Adds what another gateway or the store knows. */
    void merge(const crash_evidence &evidence);

    /** @returns what the other gateways need to know. */
    crash_evidence evidence();

    /** @returns a number that changes with evidence(). */
    std::uint64_t version() const
    {
        return m_quarantine.version();
    }

private:
    void onCrash(const endpoint_crash &crash);
    void announceReleased(const std::vector<std::string> &parts);
    /**
     * Tells the requests at endpoints of a quarantine. It happens later, from the event loop, as the call that led to
     * the quarantine may come from the middle of the work on one of these requests.
     */
    void giveUpLater(const quarantined_part &entry);
    void giveUp(const quarantined_part &entry);
    void announce(const std::vector<quarantined_part> &added, const char *source);

    boost::asio::io_context &m_loop;
    gateway_metrics &m_metrics;
    part_quarantine m_quarantine;
    crash_detector m_detector;
    /** Requests at endpoints, apart from those without prompt parts. */
    std::map<const quarantine_observer *, std::weak_ptr<quarantine_observer>> m_sent;
    std::function<void()> m_onOwnCrash;
    std::function<void()> m_onQuarantine;
};

} // namespace bronzechute
