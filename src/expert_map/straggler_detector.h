#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzechute {

enum class straggler_verdict : std::uint8_t {
    normal,
    hot_experts, ///< The rank takes long because its experts receive more tokens: a case for rebalancing.
    slow_shift_load, ///< The machine is somewhat slow: place less load there.
    slow_replace, ///< The machine has been so slow for so long that a replacement pays.
    slow_tell_operator, ///< Many ranks are slow at once: not a single machine's fault, replacing does not help.
};

struct straggler_settings
{
    double weight = 0.05; ///< Of one report in the smoothed time for each token.
    double slowFactor = 1.15; ///< Time for each token over the median's, from which on a rank is slow.
    double replaceFactor = 1.8;
    double hotFactor = 1.25; ///< Tokens over the mean, from which on a rank is reported as hot.
    std::size_t replaceAfter = 60; ///< Reports for which the rank has to stay beyond replaceFactor.
    double manyShare = 0.25; ///< Part of the ranks from which on the cause is a common one.

    friend bool operator==(const straggler_settings &, const straggler_settings &) = default;
};

/**
 * Tells a slow machine from a hot expert by the time for each token: a hot expert raises a rank's time and tokens
 * alike, a slow machine raises the time only.
 */
class straggler_detector
{
public:
    straggler_detector(std::size_t ranks, const straggler_settings &settings);

    /**
     * One report of all ranks for the same period.
     * @param busySeconds time spent on expert work, without waiting; 0 or less: no report of this rank
     * @param tokens expert tokens in that time
     */
    void report(const std::vector<double> &busySeconds, const std::vector<double> &tokens);

    std::vector<straggler_verdict> verdicts() const;

    /** @returns relative speeds for planning: 1 unless a rank is slow. */
    std::vector<double> speeds() const;

    /** Forgets a rank's history when its machine has been replaced. */
    void reset(std::size_t rank);

private:
    std::vector<double> slowness() const;

    straggler_settings m_settings;
    std::vector<double> m_secondsPerToken; ///< Smoothed; 0 before the first report.
    std::vector<double> m_tokens; ///< Smoothed.
    std::vector<std::size_t> m_verySlow; ///< Successive reports beyond replaceFactor.
};

} // namespace bronzechute
