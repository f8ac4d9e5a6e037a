#include "observe/metrics.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;

// Guards against samples that are rendered apart from the HELP and TYPE lines of their family.
TEST(metrics_registry, keepsTheSamplesOfAFamilyTogether)
{
    metrics_registry registry;
    registry.counter("a_total", "reason=\"x\"", "Counts.").add(3);
    registry.gauge("b", "", "First gauge.", [] { return 1.5; });
    registry.gauge("c", "", "Second gauge.", [] { return 2; });
    EXPECT_EQ(registry.render(),
              "# HELP a_total Counts.\n# TYPE a_total counter\na_total{reason=\"x\"} 3\n"
              "# HELP b First gauge.\n# TYPE b gauge\nb 1.5\n"
              "# HELP c Second gauge.\n# TYPE c gauge\nc 2\n");
}

// Guards against buckets that are not cumulative, and against observations above the last bound being lost.
TEST(metrics_registry, countsAnObservationInEveryBucketAboveIt)
{
    metrics_registry registry;
    metric_histogram &histogram = registry.histogram("t_seconds", "", "Times.");
    histogram.observe(3ms);
    histogram.observe(500s);
    const std::string output = registry.render();
    EXPECT_NE(output.find("t_seconds_bucket{le=\"0.002\"} 0\n"), std::string::npos) << output;
    EXPECT_NE(output.find("t_seconds_bucket{le=\"0.005\"} 1\n"), std::string::npos) << output;
    EXPECT_NE(output.find("t_seconds_bucket{le=\"+Inf\"} 2\n"), std::string::npos) << output;
    EXPECT_NE(output.find("t_seconds_count 2\n"), std::string::npos) << output;
}

} // namespace
} // namespace bronzechute
