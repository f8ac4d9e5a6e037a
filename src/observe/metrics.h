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

/** A count that only rises. */
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

/** Distribution of durations, in seconds, with bounds from 0.5 ms to 2 minutes. */
class metric_histogram
{
public:
    metric_histogram();
    void observe(std::chrono::nanoseconds duration);

    /** Appends the Prometheus text of this histogram. */
    void render(const std::string &name, const std::string &labels, std::string &page) const;

private:
    using storage = boost::histogram::dense_storage<boost::histogram::accumulators::thread_safe<std::uint64_t>>;
    using histogram =
        decltype(boost::histogram::make_histogram_with(storage(), boost::histogram::axis::variable<>({0.0, 1.0})));

    histogram m_histogram;
    std::atomic<std::uint64_t> m_sumNanoseconds {0};
};

/**
 * The metrics of a process, rendered in the Prometheus text format. References stay valid for the registry's life;
 * callers keep them instead of looking them up for each event.
 */
class metrics_registry
{
public:
    /** @param labels text between the braces, for example reason="leaving"; may be empty */
    metric_counter &counter(const std::string &name, const std::string &labels, const std::string &help);
    metric_histogram &histogram(const std::string &name, const std::string &labels, const std::string &help);

    /** @param read called while the page is rendered, from any thread */
    void gauge(const std::string &name, const std::string &labels, const std::string &help,
               std::function<double()> read);

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

    family &at(const std::string &name, const std::string &type, const std::string &help);

    mutable ranked_mutex m_mutex {lock_rank::metrics};
    std::map<std::string, family> m_families;
};

} // namespace bronzechute
