#pragma once

#include <chrono>
#include <string>

namespace bronzechute {

/** Address and kind of the engine or plain service. */
struct http_back_end_options
{
    enum class kind {
        engine, ///< OpenAI-compatible engine with a Prometheus metrics page.
        service, ///< Any HTTP service with a health check path.
    };
    kind targetKind = kind::engine;
    std::string baseUrl; ///< For example "http://127.0.0.1:8000".
    std::string metricsPath = "/metrics"; ///< Probed for an engine.
    std::string healthPath = "/health"; ///< Probed for a service.
    std::chrono::milliseconds probeTimeout {1000};

    friend bool operator==(const http_back_end_options &, const http_back_end_options &) = default;
};

} // namespace bronzechute
