#pragma once

#include <chrono>
#include <string>

namespace bronzechute {

/** Where the engine or plain service is and what it is. */
struct http_back_end_options
{
    enum class kind {
        engine, ///< OpenAI-compatible, with a Prometheus page.
        service, ///< Any HTTP service with a health page.
    };
    kind what = kind::engine;
    std::string baseUrl; ///< For example "http://127.0.0.1:8000".
    std::string metricsPath = "/metrics"; ///< Read for an engine.
    std::string healthPath = "/health"; ///< Read for a service.
    std::chrono::milliseconds probeTimeout {1000};

    friend bool operator==(const http_back_end_options &, const http_back_end_options &) = default;
};

} // namespace bronzechute
