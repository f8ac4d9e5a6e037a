#include "soak/soak_evidence.h"

#include "soak/soak_statements.h"

#include <algorithm>
#include <set>

namespace bronzechute::soak {

namespace {

using std::chrono::milliseconds;

constexpr int firstRefusal = 400;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
// A version is in force this long after the store took it, in calm.
constexpr milliseconds applyBound {2000};
// Calm is this time without a disturbance of the store or the gateway.
constexpr milliseconds stabilityWindow {3000};
// Callers of the soak wait this long in the calm at the end.
constexpr milliseconds calmAnswerBound {3000};

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

bool promisesNotRun(int status)
{
    return status == statusTooManyRequests || status == statusUnavailable;
}

bool disturbed(const soak_evidence &evidence, const std::string &part, time_point from, time_point until)
{
    return std::ranges::any_of(evidence.disturbances, [&](const disturbance &each) {
        return each.part == part && each.from <= until && each.until + stabilityWindow >= from;
    });
}

bool inTouch(const soak_evidence &evidence, const std::string &gateway, time_point from, time_point until)
{
    return !disturbed(evidence, "store", from, until) && !disturbed(evidence, gateway, from, until);
}

/** @returns whether the gateway of a call was stopped as planned during the call, with no other trouble. */
bool isBesidePlannedStop(const soak_evidence &evidence, const call_record &call)
{
    return std::ranges::any_of(evidence.plannedStops, [&](const disturbance &each) {
        return each.part == call.gateway && each.from <= call.endedAt && each.until >= call.sentAt;
    });
}

void checkCalls(const soak_evidence &evidence, std::vector<std::string> &findings)
{
    std::map<std::string, int> runs;
    for (const run_record &run : evidence.runs) {
        ++runs[run.id];
    }
    for (const call_record &call : evidence.calls) {
        const int ran = runs.contains(call.id) ? runs.at(call.id) : 0;
        const std::string name = call.id + " at " + call.gateway;
        if (call.kind == call_kind::order && ran > 1) {
            findings.push_back("run twice: " + name);
        }
        if (call.kind == call_kind::order && ran > 0 && promisesNotRun(call.status)) {
            findings.push_back("refused as not run, and has run: " + name);
        }
        if (isSuccess(call.status) && !call.genuine) {
            findings.push_back("not the endpoint's whole answer: " + name);
        }
        if (call.status >= firstRefusal && call.status < 500 && !promisesNotRun(call.status)) {
            findings.push_back("proper request denied with status " + std::to_string(call.status) + ": " + name);
        }
        if (isBesidePlannedStop(evidence, call)) {
            if (call.status == 0 && call.owed && ran > 0) {
                findings.push_back("run, and not answered because of a planned stop: " + name);
            }
            continue;
        }
        const bool late = call.endedAt - call.sentAt > calmAnswerBound;
        if (call.sentAt > evidence.calmFrom && call.owed && (!isSuccess(call.status) || late)) {
            findings.push_back("not served in the calm at the end, status " + std::to_string(call.status) + ": "
                               + name);
        }
    }
}

void checkRuns(const soak_evidence &evidence, std::vector<std::string> &findings)
{
    std::set<std::string> sent;
    for (const call_record &call : evidence.calls) {
        sent.insert(call.id);
    }
    for (const run_record &run : evidence.runs) {
        if (!sent.contains(run.id)) {
            findings.push_back("run that nobody asked for: " + run.id);
        }
        if (run.account != "office") {
            findings.push_back("run for another client account: " + run.id + " as '" + run.account + "'");
        }
    }
}

void checkVersions(const soak_evidence &evidence, std::vector<std::string> &findings)
{
    std::map<std::pair<std::string, int>, std::pair<std::int64_t, time_point>> served; // Highest, and when it was seen.
    std::vector<version_probe> probes = evidence.probes;
    std::ranges::sort(probes, {}, &version_probe::endedAt);
    for (const version_probe &probe : probes) {
        auto &[highest, seenAt] = served[{probe.gateway, probe.incarnation}];
        const std::string name = "version " + std::to_string(probe.version) + " at " + probe.gateway;
        // A version's marker is dropped by the second version after it.
        const bool dropped = probe.newest > probe.version + 1;
        if (probe.status == statusNotFound && !dropped) {
            if (highest >= probe.version && probe.sentAt > seenAt) {
                findings.push_back("configuration went back: " + name);
            }
            const auto taken = evidence.acknowledged.find(probe.version);
            if (taken != evidence.acknowledged.end() && probe.sentAt > taken->second + applyBound
                && inTouch(evidence, probe.gateway, taken->second, probe.endedAt)) {
                findings.push_back("configuration not in force in time: " + name);
            }
        }
        if (isSuccess(probe.status) && probe.version > highest) {
            highest = probe.version;
            seenAt = probe.endedAt;
        }
    }
}

void checkEndpoints(const soak_evidence &evidence, std::vector<std::string> &findings)
{
    for (const endpoint_violation &violation : evidence.violations) {
        // A gateway out of touch does not know that an endpoint leaves, and an endpoint that was out of reach reads
        // late what was sent before. One map a pass holds always.
        const bool excused = std::ranges::any_of(evidence.disturbances, [&](const disturbance &each) {
            const bool concerns =
                violation.kind == "left" || (violation.kind == "cold" && each.part == violation.endpoint);
            return concerns && each.from <= violation.at && each.until + 2 * stabilityWindow >= violation.at;
        });
        if (!excused) {
            findings.push_back("endpoint " + violation.endpoint + ": " + violation.kind + " " + violation.detail);
        }
    }
}

} // namespace

std::vector<std::string> findingsOf(const soak_evidence &evidence)
{
    std::vector<std::string> findings = evidence.findings;
    checkCalls(evidence, findings);
    checkRuns(evidence, findings);
    checkVersions(evidence, findings);
    checkEndpoints(evidence, findings);
    checkStatements(evidence, findings);
    return findings;
}

} // namespace bronzechute::soak
