#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzechute {

enum class straggler_verdict : std::uint8_t {
    normal,
    hot_experts, ///< The rank is slow because its experts receive more tokens; rebalancing helps.
    slow_shift_load, ///< The machine is moderately slow; place less load on it.
    slow_replace, ///< The machine has been very slow for long enough to justify its replacement.
    slow_alert_operator, ///< Many ranks are slow at once, so replacing single machines does not help.
};

struct straggler_settings
{
    double weight = 0.05; ///< Smoothing weight of a report.
    double slowFactor = 1.15; ///< A rank is slow if its time per token is at least this multiple of the median.
    double replaceFactor = 1.8; ///< A rank is very slow if its time per token is at least this multiple of the median.
    double hotFactor = 1.25; ///< A rank is hot if it receives more than this multiple of the mean tokens.
    std::size_t replaceAfter = 60; ///< Successive reports of a very slow rank before its replacement is advised.
    double manyShare = 0.25; ///< The cause is a common one if at least this share of the ranks is slow.

    friend bool operator==(const straggler_settings &, const straggler_settings &) = default;
};

/**
 * Distinguishes slow machines from hot experts by the time per token: a hot expert increases both time and tokens of a
 * rank, a slow machine increases only the time.
 */
class straggler_detector
{
public:
    straggler_detector(std::size_t ranks, const straggler_settings &settings);

    /**
     * Adds the reports of all ranks for one period.
     * @param busySeconds by rank: time spent on experts, without waiting; 0 or less if the rank did not report
     * @param tokens by rank: expert tokens processed in that time
     */
    void report(const std::vector<double> &busySeconds, const std::vector<double> &tokens);

    std::vector<straggler_verdict> verdicts() const;

    /** @returns the relative speed of each rank for planning; 1 unless the rank is slow. */
    std::vector<double> speeds() const;

    /** Discards the history of a rank whose machine has been replaced. */
    void reset(std::size_t rank);

private:
    /** @returns the time per token of each rank, relative to the median; 1 without reports. */
    std::vector<double> slowness() const;

    straggler_settings m_settings;
    std::vector<double> m_secondsPerToken; ///< Smoothed; 0 before the first report.
    std::vector<double> m_tokens; ///< Smoothed tokens per report.
    std::vector<std::size_t> m_verySlow; ///< Number of successive reports at or above replaceFactor.
};

} // namespace bronzechute
