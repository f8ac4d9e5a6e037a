#pragma once

#include "base/ranked_mutex.h"

#include <boost/histogram.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bronzechute {

/** Monotonically increasing counter. */
class metric_counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        m_value += amount;
    }

    std::uint64_t value() const
    {
        return m_value;
    }

private:
    std::atomic<std::uint64_t> m_value {0};
};

/** Histogram of durations, in seconds, with bucket bounds from 0.5 ms to 2 minutes. */
class metric_histogram
{
public:
    metric_histogram();
    void observe(std::chrono::nanoseconds duration);

    /** Appends the samples of this histogram to @p output, in the Prometheus text format. */
    void render(const std::string &name, const std::string &labels, std::string &output) const;

private:
    using storage = boost::histogram::dense_storage<boost::histogram::accumulators::thread_safe<std::uint64_t>>;
    using histogram =
        decltype(boost::histogram::make_histogram_with(storage(), boost::histogram::axis::variable<>({0.0, 1.0})));

    histogram m_histogram;
    std::atomic<std::uint64_t> m_sumNanoseconds {0};
};

/**
 * The metrics of a process, rendered in the Prometheus text format. References to metrics stay valid for the lifetime
 * of the registry; callers keep them to avoid a lookup per event.
 */
class metrics_registry
{
public:
    /**
     * @param labels label pairs as rendered between the braces, for example reason="leaving"; may be empty
     * @param help text of the HELP line
     * @returns the metric with this name and these labels, created when it does not exist
     */
    metric_counter &counter(const std::string &name, const std::string &labels, const std::string &help);
    metric_histogram &histogram(const std::string &name, const std::string &labels, const std::string &help);

    /**
     * Registers a gauge, or replaces the one with this name and these labels.
     * @param readValue returns the current value; called by render(), from any thread
     */
    void gauge(const std::string &name, const std::string &labels, const std::string &help,
               std::function<double()> readValue);

    /** @returns every metric in the Prometheus text format. */
    std::string render() const;

private:
    struct family
    {
        std::string type;
        std::string help;
        std::map<std::string, std::unique_ptr<metric_counter>> counters;
        std::map<std::string, std::unique_ptr<metric_histogram>> histograms;
        std::map<std::string, std::function<double()>> gauges;
    };

    family &findOrCreateFamily(const std::string &name, const std::string &type, const std::string &help);

    mutable ranked_mutex m_mutex {lock_rank::metrics};
    std::map<std::string, family> m_families;
};

} // namespace bronzechute
