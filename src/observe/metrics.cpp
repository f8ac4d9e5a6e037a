#include "observe/metrics.h"

#include <mutex>

namespace bronzechute {

namespace {

const std::vector<double> bucketBoundsSeconds {0.0, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.066, 0.1,
                                               0.2, 0.4,    0.8,   1.6,   3.2,   6.4,  15,   30,   60,    120};
constexpr double nanosecondsPerSecond = 1e9;

std::string formatLabels(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

std::string formatBucketLabels(const std::string &labels, const std::string &bound)
{
    return "{" + labels + (labels.empty() ? "" : ",") + "le=\"" + bound + "\"}";
}

std::string formatNumber(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

std::string formatFamilyHeader(const std::string &name, const std::string &type, const std::string &help)
{
    return "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

void appendSample(std::string &output, const std::string &series, const std::string &value)
{
    output.append(series).append(" ").append(value).append("\n");
}

} // namespace

metric_histogram::metric_histogram()
    : m_histogram(
        boost::histogram::make_histogram_with(storage(), boost::histogram::axis::variable<>(bucketBoundsSeconds)))
{
}

void metric_histogram::observe(std::chrono::nanoseconds duration)
{
    m_histogram(static_cast<double>(duration.count()) / nanosecondsPerSecond);
    m_sumNanoseconds += static_cast<std::uint64_t>(duration.count());
}

void metric_histogram::render(const std::string &name, const std::string &labels, std::string &output) const
{
    const auto &axis = m_histogram.axis();
    std::uint64_t cumulative = 0;
    for (int index = 0; index < axis.size(); ++index) {
        cumulative += m_histogram.at(index).load();
        output += name + "_bucket" + formatBucketLabels(labels, formatNumber(axis.bin(index).upper())) + " "
            + std::to_string(cumulative) + "\n";
    }
    cumulative += m_histogram.at(axis.size()).load();
    output += name + "_bucket" + formatBucketLabels(labels, "+Inf") + " " + std::to_string(cumulative) + "\n";
    output += name + "_sum" + formatLabels(labels) + " "
        + std::to_string(static_cast<double>(m_sumNanoseconds) / nanosecondsPerSecond) + "\n";
    output += name + "_count" + formatLabels(labels) + " " + std::to_string(cumulative) + "\n";
}

metrics_registry::family &metrics_registry::findOrCreateFamily(const std::string &name, const std::string &type,
                                                               const std::string &help)
{
    family &found = m_families[name];
    found.type = type;
    found.help = help;
    return found;
}

metric_counter &metrics_registry::counter(const std::string &name, const std::string &labels, const std::string &help)
{
    const std::scoped_lock lock(m_mutex);
    auto &metric = findOrCreateFamily(name, "counter", help).counters[labels];
    if (metric == nullptr) {
        metric = std::make_unique<metric_counter>();
    }
    return *metric;
}

metric_histogram &metrics_registry::histogram(const std::string &name, const std::string &labels,
                                              const std::string &help)
{
    const std::scoped_lock lock(m_mutex);
    auto &metric = findOrCreateFamily(name, "histogram", help).histograms[labels];
    if (metric == nullptr) {
        metric = std::make_unique<metric_histogram>();
    }
    return *metric;
}

void metrics_registry::gauge(const std::string &name, const std::string &labels, const std::string &help,
                             std::function<double()> readValue)
{
    const std::scoped_lock lock(m_mutex);
    findOrCreateFamily(name, "gauge", help).gauges[labels] = std::move(readValue);
}

std::string metrics_registry::render() const
{
    struct gauge_family
    {
        std::string header;
        std::string name;
        std::map<std::string, std::function<double()>> gauges;
    };
    std::string output;
    std::vector<gauge_family> gaugeFamilies;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[name, each] : m_families) {
            const std::string header = formatFamilyHeader(name, each.type, each.help);
            if (!each.gauges.empty()) {
                gaugeFamilies.push_back({header, name, each.gauges});
                continue;
            }
            output += header;
            for (const auto &[labels, counter] : each.counters) {
                appendSample(output, name + formatLabels(labels), std::to_string(counter->value()));
            }
            for (const auto &[labels, histogram] : each.histograms) {
                histogram->render(name, labels, output);
            }
        }
    }
    // Gauge callbacks lock mutexes of a lower rank than the registry's, so they run after it is released.
    for (const gauge_family &family : gaugeFamilies) {
        output += family.header;
        for (const auto &[labels, readValue] : family.gauges) {
            appendSample(output, family.name + formatLabels(labels), formatNumber(readValue()));
        }
    }
    return output;
}

} // namespace bronzechute
