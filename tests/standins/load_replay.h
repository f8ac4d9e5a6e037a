#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzechute::standins {

/** How requests wait and are placed in a replay. */
enum class replay_policy {
    bronzechute, ///< The decisions of src/balance/.
    refuse_in_outage, ///< The same, but first tries are refused at once while no endpoint works.
    fifo, ///< A line in order of arrival at each gateway, and no refusals.
    least_requests, ///< Sent at once to the endpoint with the fewest requests, which queues them.
};

/** A load and what is wrong with callers and endpoints while it lasts. */
struct replay_pattern
{
    std::string name;
    double load = 0.7; ///< Requests, as a multiple of what all endpoints can serve.
    double burstLoad = 0; ///< From the middle third on, for as long as a third; 0: none.
    double floodShare = 0; ///< Of the requests, from one of the ten accounts, on top of the load.
    double impatientShare = 0; ///< Callers that come back at once and up to three times.
    double leavingShare = 0; ///< Callers that leave within half a second.
    double largeShare = 0.1; ///< Requests with a prompt of eight times the usual size.
    double urgentShare = 0; ///< Requests with a higher priority.
    int slowEndpoints = 0; ///< Work at half the speed.
    std::chrono::milliseconds outage {0}; ///< Time for which no endpoint takes new requests.
    int goneEndpoints = 0; ///< Stop working in the middle third.
    int pausingEndpoints = 0; ///< Refuse all requests for a second in each three, and say for how long they will.
    bool pauseTogether = false; ///< At the same time, not one after the other.
    bool readsPauses = true; ///< Whether gateways act on what the refusals say.
    std::size_t gateways = 4;
    double crowdedShare = 0; ///< Of the requests, that all reach the first quarter of the gateways.
    double waveSwing = 0; ///< The load swings by this share of itself.
};

/** What the callers of a replay got. */
struct replay_result
{
    double capacity = 0; ///< Requests a second that all endpoints can serve.
    double offered = 0; ///< Requests a second, returns not counted.
    double goodput = 0; ///< Requests a second with the first event within the target, as a share of the capacity.
    double served = 0; ///< Share of the requests that were answered whole, also late.
    double inTimeUrgent = 0; ///< Share of the urgent requests that were answered in time.
    double leastAccount = 0; ///< Share that was served of the requests of the account that was served least.
    double servedUrgent = 0; ///< Share of the urgent requests that were answered, also late.
    double servedOthers = 0; ///< Share of the other requests that were answered, also late.
    double leastUnflooded = 0; ///< As leastAccount, without the account that floods.
    double unfloodedInTime = 0; ///< Share that was answered in time of the requests of accounts that do not flood.
    double fairness = 0; ///< Jain's index of the accounts' served shares of what they asked for.
    int cameBack = 0; ///< Callers that came back after a refusal.
    int refusedAgain = 0; ///< Callers that came back and were refused.
    double servedLarge = 0; ///< Share that was served of the requests with large prompts.
    std::chrono::milliseconds firstEventMedian {0}; ///< Of the requests that were answered, from the first try on.
    std::chrono::milliseconds firstEventP99 {0};
    std::map<std::string, int> refusals; ///< By reason.
    double inAim = 0; ///< Share of the requests with the first event within the target.
    double worth = 0; ///< Of the answers, over that of all requests in time; a late one is worth half.
    int turnedAway = 0; ///< Requests that endpoints refused.
    int unwanted = 0; ///< Of these, beyond two of a gateway from half a second after its refusal to the pause's end.
    int firstAfterPause = 0; ///< Most requests that reached all endpoints in the first 100 ms after a pause.
};

/** The patterns that the users' worst loads consist of. */
const std::vector<replay_pattern> &replayPatterns();

/**
 * Plays a load against emulated endpoints and gateways in simulated time. The same arguments give the same result.
 */
replay_result replayLoad(const replay_pattern &pattern, replay_policy policy, std::uint64_t seed);

} // namespace bronzechute::standins
