#include "observe/metrics.h"

#include <mutex>

namespace bronzechute {

namespace {

const std::vector<double> bucketBounds {0.0, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.066, 0.1,
                                        0.2, 0.4,    0.8,   1.6,   3.2,   6.4,  15,   30,   60,    120};
constexpr double nanosecondsPerSecond = 1e9;

std::string braces(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

std::string bucketLabels(const std::string &labels, const std::string &bound)
{
    return "{" + labels + (labels.empty() ? "" : ",") + "le=\"" + bound + "\"}";
}

std::string number(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

std::string familyHead(const std::string &name, const std::string &type, const std::string &help)
{
    return "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

void appendSample(std::string &page, const std::string &series, const std::string &value)
{
    page.append(series).append(" ").append(value).append("\n");
}

} // namespace

metric_histogram::metric_histogram()
    : m_histogram(boost::histogram::make_histogram_with(storage(), boost::histogram::axis::variable<>(bucketBounds)))
{
}

void metric_histogram::observe(std::chrono::nanoseconds duration)
{
    m_histogram(static_cast<double>(duration.count()) / nanosecondsPerSecond);
    m_sumNanoseconds += static_cast<std::uint64_t>(duration.count());
}

void metric_histogram::render(const std::string &name, const std::string &labels, std::string &page) const
{
    const auto &axis = m_histogram.axis();
    std::uint64_t cumulative = 0;
    for (int index = 0; index < axis.size(); ++index) {
        cumulative += m_histogram.at(index).load();
        page += name + "_bucket" + bucketLabels(labels, number(axis.bin(index).upper())) + " "
            + std::to_string(cumulative) + "\n";
    }
    cumulative += m_histogram.at(axis.size()).load();
    page += name + "_bucket" + bucketLabels(labels, "+Inf") + " " + std::to_string(cumulative) + "\n";
    page += name + "_sum" + braces(labels) + " "
        + std::to_string(static_cast<double>(m_sumNanoseconds) / nanosecondsPerSecond) + "\n";
    page += name + "_count" + braces(labels) + " " + std::to_string(cumulative) + "\n";
}

metrics_registry::family &metrics_registry::at(const std::string &name, const std::string &type,
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
    auto &place = at(name, "counter", help).counters[labels];
    if (place == nullptr) {
        place = std::make_unique<metric_counter>();
    }
    return *place;
}

metric_histogram &metrics_registry::histogram(const std::string &name, const std::string &labels,
                                              const std::string &help)
{
    const std::scoped_lock lock(m_mutex);
    auto &place = at(name, "histogram", help).histograms[labels];
    if (place == nullptr) {
        place = std::make_unique<metric_histogram>();
    }
    return *place;
}

void metrics_registry::gauge(const std::string &name, const std::string &labels, const std::string &help,
                             std::function<double()> read)
{
    const std::scoped_lock lock(m_mutex);
    at(name, "gauge", help).gauges[labels] = std::move(read);
}

std::string metrics_registry::render() const
{
    struct gauge_family
    {
        std::string head;
        std::string name;
        std::map<std::string, std::function<double()>> gauges;
    };
    std::string page;
    std::vector<gauge_family> gaugeFamilies;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[name, each] : m_families) {
            const std::string head = familyHead(name, each.type, each.help);
            if (!each.gauges.empty()) {
                gaugeFamilies.push_back({head, name, each.gauges});
                continue;
            }
            page += head;
            for (const auto &[labels, counter] : each.counters) {
                appendSample(page, name + braces(labels), std::to_string(counter->value()));
            }
            for (const auto &[labels, histogram] : each.histograms) {
                histogram->render(name, labels, page);
            }
        }
    }
    // Gauges lock tables of lower rank, so they are read without the registry's lock.
    for (const gauge_family &family : gaugeFamilies) {
        page += family.head;
        for (const auto &[labels, read] : family.gauges) {
            appendSample(page, family.name + braces(labels), number(read()));
        }
    }
    return page;
}

} // namespace bronzechute
