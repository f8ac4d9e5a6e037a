#pragma once

#include "soak/soak_callers.h"
#include "soak/soak_evidence.h"
#include "soak/soak_plan.h"
#include "standins/gateway_site.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bronzechute::soak {

/**
 * Plays a plan on a site of its own and collects what callers and endpoints see. Runs on one thread, which has to
 * outlive it: the processes end with it.
 */
class soak_run
{
public:
    explicit soak_run(soak_plan plan);

    /** Starts the site, plays the faults, ends them, and watches the calm. */
    soak_evidence play();

    /** Writes what each process has logged into a directory. */
    void saveLogs(const std::string &directory);

private:
    void startSite();
    void playFaults();
    void begin(const planned_fault &next);
    void end(const planned_fault &past);
    void beginAtGateway(const planned_fault &next, const std::string &gateway);
    void endAtGateway(const planned_fault &past, const std::string &gateway);
    void beginAtStore(const planned_fault &next);
    void beginAtEndpoint(const planned_fault &next, const std::string &endpoint);
    void endAtEndpoint(const planned_fault &past, const std::string &endpoint);
    void operate(std::function<void()> operation);
    void operatePending();
    void setEvacuated(const std::string &name, bool evacuated);
    void returnFromCopy();
    void changeConfiguration();
    void restartGateway(const std::string &gateway);
    void waitForStop(const std::string &gateway);
    void checkAlive();
    void heal();
    void playCalm();
    /** Stops a gateway as planned and starts it again; nothing else happens meanwhile. */
    void stopInCalm(const std::string &gateway);
    void collectEndpoints();
    void collectOutput(const std::string &process);
    void disturb(const std::string &part, time_point from);
    std::string gatewayOf(const planned_fault &fault) const;
    std::string endpointOf(const planned_fault &fault) const;
    std::vector<std::string> endpoints() const;

    const soak_plan m_plan;
    standins::gateway_site m_site;
    soak_evidence m_evidence;
    std::unique_ptr<site_view> m_view;
    std::unique_ptr<soak_callers> m_callers;
    std::int64_t m_version = 1;
    std::deque<std::function<void()>> m_pending; ///< Of the operator, in order, while the store is away.
    std::map<std::string, bool> m_evacuated; ///< Data centres that the operator has taken out, by name.
    std::map<std::string, int> m_down; ///< Gateways that the plan has ended, with the number of faults that did.
    std::map<std::string, time_point> m_stoppedAt; ///< When SIGTERM was sent to a gateway that runs.
    std::map<std::string, int> m_frozen; ///< Faults that keep a gateway frozen.
    std::map<std::string, time_point> m_begun; ///< By part, while faults last.
    std::map<std::string, int> m_lasting; ///< Faults that last, by part.
};

} // namespace bronzechute::soak
