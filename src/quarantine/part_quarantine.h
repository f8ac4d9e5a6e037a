#pragma once

#include "quarantine/answered_parts.h"
#include "quarantine/crash_evidence.h"
#include "quarantine/part_score.h"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Decides which prompt parts crash the endpoints that answer them, and which requests are refused therefore.
 *
 * A crash counts against the parts of the requests that the endpoint was answering; if it was beginning none of them,
 * it counts half against those that it had not begun to answer. What clears a part of all earlier crashes is an answer
 * that came further than the lost one: beyond its beginning, or to its end if the lost one had come beyond that. A part
 * that has been answered recently needs more crashes, and simultaneous ones count once, so that failures with other
 * causes do not convict popular prompts. A crash that a convicted part explains does not count against others.
 *
 * After its first crash, a part that was never answered is refused for a short time if no other one fits. What is known
 * is bounded and expires. After a quarantine single requests are let through: an answer ends it, a further crash
 * doubles it. Used from one thread; has no clock of its own.
 */
class part_quarantine
{
public:
    static constexpr std::chrono::seconds suspicionDuration {30}; ///< After a single crash.
    static constexpr std::chrono::seconds learningTime {
        2}; ///< In which popular prompts are answered, before a single crash is judged.
    static constexpr std::chrono::minutes firstDuration {10};
    static constexpr std::chrono::minutes maxDuration {160};
    static constexpr std::chrono::minutes crashLifetime {10};
    static constexpr std::chrono::seconds trialInterval {5}; ///< Between requests that are let through after it.
    static constexpr std::chrono::seconds trialSpread {10}; ///< Over which the gateways let their first ones through.
    static constexpr std::chrono::milliseconds settlingTime {100}; ///< Of the evidence on a crash.
    static constexpr std::size_t maxCrashes = 64;
    static constexpr std::size_t maxSuspects = 32; ///< Of one crash that had come equally far.
    static constexpr std::size_t maxSuspectParts = 128; ///< Of one suspect.
    static constexpr std::size_t maxCrashParts = 32768; ///< Of all suspects of all crashes.
    static constexpr std::size_t maxQuarantined = 256;

    /** @param seed of the random numbers that keep the trials of several gateways apart */
    explicit part_quarantine(std::uint64_t seed);

    /** An answer to a request with these parts came beyond its beginning. @returns parts that are suspected no more */
    std::vector<std::string> recordBeginning(std::span<const std::string> parts, time_point now);

    /** A request with these parts was answered to the end. @returns parts whose quarantine ends */
    std::vector<std::string> recordAnswer(std::span<const std::string> parts, time_point now);

    /** Adds a crash, or suspects to a known one. It is judged by a later update(). */
    void recordCrash(const endpoint_crash &crash);

    /** Adds what another gateway knows. @returns parts that it has quarantined and that are news here */
    std::vector<quarantined_part> merge(const crash_evidence &evidence, time_point now);

    /**
     * Judges the crashes: suspicions at once, the others once the other gateways have had the time to tell what they
     * know about them.
     * @returns parts that are quarantined from now on
     */
    std::vector<quarantined_part> update(time_point now);

    /** @returns the quarantined part because of which a request must not be sent, if there is one. */
    std::optional<quarantined_part> blocking(std::span<const std::string> parts, time_point now) const;

    /** A request with these parts that is not blocked is sent; after a quarantine, it counts as a trial. */
    void onSend(std::span<const std::string> parts, time_point now);

    /** @returns whether a crash of this run is known. */
    bool knows(const endpoint_run &run) const
    {
        return m_crashes.contains(run);
    }

    /** @returns whether an answer with the part came beyond its beginning, within the time that is remembered. */
    bool isAnswered(const std::string &part) const
    {
        return m_answered.lastAnswer(part).has_value();
    }

    /** @returns whether an answer with the part came to its end, within the time that is remembered. */
    bool isWhollyAnswered(const std::string &part) const
    {
        return m_answered.lastWholeAnswer(part).has_value();
    }

    /** @returns at most @p room of the parts, those that most likely crash endpoints; see likeliestParts(). */
    std::vector<std::string> likeliest(const std::vector<std::string> &parts, std::size_t room) const;

    /** @returns all that other gateways need to reach the same decisions, without expired knowledge. */
    crash_evidence evidence(time_point now);

    /** @returns the number of changes of evidence() other than by time. */
    std::uint64_t version() const
    {
        return m_version;
    }

private:
    struct quarantine_state
    {
        quarantined_part entry;
        time_point nextTrialAt {};
    };

    enum class answer_extent {
        beginning, ///< The answer came beyond its beginning.
        whole,
    };

    std::vector<std::string> noteAnswers(std::span<const std::string> parts, answer_extent extent, time_point now);
    /** @returns whether the answer ended a quarantine. */
    bool noteAnswer(const std::string &part, answer_extent extent, time_point at, time_point now);
    bool isExplained(const endpoint_crash &crash) const;
    std::map<std::string, part_score> scores(time_point now) const;
    std::optional<std::string> worstPart(time_point now) const;
    std::optional<std::string> onlySuspect(const endpoint_crash &crash) const;
    std::optional<std::string> partToSuspect(time_point now) const;
    quarantined_part convict(const std::string &part, time_point now);
    void refuse(const quarantined_part &entry);
    void expire(time_point now);
    /** Drops the oldest crashes beyond what is kept. */
    void limitCrashes();

    std::mt19937_64 m_random;
    answered_parts m_answered;
    std::optional<time_point> m_firstAnswerAt;
    std::map<endpoint_run, endpoint_crash> m_crashes;
    std::map<std::string, quarantine_state> m_quarantined; ///< By part; kept for as long again after `until`.
    std::map<std::string, time_point> m_released; ///< Parts whose quarantine an answer ended.
    std::uint64_t m_version = 0;
    std::uint64_t m_judgedVersion = 0; ///< Version that update() has judged.
    time_point m_settledAt {}; ///< When the evidence on all known crashes has settled.
};

} // namespace bronzechute
