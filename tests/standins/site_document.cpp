#include "standins/site_document.h"

#include <nlohmann/json.hpp>

namespace bronzechute::standins {

namespace {

using json = nlohmann::json;

json routeOf(const std::string &name, const char *kind, const char *service, int timeoutMs)
{
    return {{"name", name},       {"hostname", site_names::host}, {"prefix", "/" + name + "/"}, {"route_type", kind},
            {"service", service}, {"timeout_ms", timeoutMs},      {"target_latency_ms", 200},   {"max_attempts", 3}};
}

json markerOf(std::int64_t version)
{
    return routeOf("marker-" + std::to_string(version), "idempotent", site_names::plainService, 1500);
}

} // namespace

std::string siteDocument(std::int64_t version)
{
    json stream = routeOf("stream", "streaming", site_names::modelService, 8000);
    stream["resumable"] = true;
    stream["target_gap_ms"] = 30;
    const json engine = {{"slots", 8},     {"sets", 2},         {"experts", 8},  {"places", 6},       {"spare", 4},
                         {"expert_mb", 1}, {"link_mbps", 1000}, {"step_ms", 20}, {"read_per_s", 1000}};
    const json document = {
        {"version", version},
        {"routes",
         {routeOf("read", "idempotent", site_names::plainService, 3000),
          routeOf("order", "non_idempotent", site_names::plainService, 3000), stream, markerOf(version - 1),
          markerOf(version)}},
        {"services",
         {{{"name", site_names::plainService}, {"max_connections", 100}, {"cold_per_s", 60}},
          {{"name", site_names::modelService}, {"max_connections", 100}, {"cold_per_s", 60}, {"engine", engine}}}},
        {"tenants", {{{"name", site_names::account}, {"api_keys", {site_names::key}}}}}};
    return document.dump();
}

} // namespace bronzechute::standins
