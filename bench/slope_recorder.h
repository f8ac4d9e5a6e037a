#pragma once

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace bronzechute::bench {

/** Collects measured points and fits a straight line through each series by least squares. */
class slope_recorder
{
public:
    /**
     * @param name of the series
     * @param variable what x counts
     * @param unit of y
     */
    void add(const std::string &name, const std::string &variable, const std::string &unit,
             const std::vector<std::pair<double, double>> &points)
    {
        const auto count = static_cast<double>(points.size());
        double meanX = 0;
        double meanY = 0;
        for (const auto &[x, y] : points) {
            meanX += x / count;
            meanY += y / count;
        }
        double squares = 0;
        double products = 0;
        for (const auto &[x, y] : points) {
            squares += (x - meanX) * (x - meanX);
            products += (x - meanX) * (y - meanY);
        }
        const double slope = products / squares;
        const double intercept = meanY - slope * meanX;
        double residuals = 0;
        for (const auto &[x, y] : points) {
            residuals += std::pow(y - intercept - slope * x, 2);
        }
        const double error = std::sqrt(residuals / (count - 2) / squares);
        m_series[name] = {{"variable", variable},
                          {"unit", unit},
                          {"points", points},
                          {"slope", slope},
                          {"intercept", intercept},
                          {"slope_standard_error", error},
                          {"residual_deviation", std::sqrt(residuals / (count - 2))}};
        std::printf("%s: %g %s per %s, standard error %g, intercept %g\n", name.c_str(), slope, unit.c_str(),
                    variable.c_str(), error, intercept);
        std::fflush(stdout);
    }

    const nlohmann::json &series() const
    {
        return m_series;
    }

private:
    nlohmann::json m_series = nlohmann::json::object();
};

} // namespace bronzechute::bench
