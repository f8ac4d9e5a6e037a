#include "settings/daemon_settings.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

constexpr const char *entrySettings = R"(role: entry
node: buda-entry-1
data_centre: buda
region: kozep
listen:
  http: 127.0.0.1:8080
  admin: 127.0.0.1:8081
  peers: 0.0.0.0:0
  tls: {certificate: /etc/c.pem, key: /etc/k.pem}
store: {endpoints: ["http://127.0.0.1:2379"], timeout_ms: 700}
entry:
  endpoints: [{name: e1, address: 127.0.0.1:9001}]
  peers: [{name: pest-entry-1, address: 127.0.0.1:9002}]
limits: {body_bytes: 2048, memory_mb: 160, max_descriptors: 4100}
drain_timeout_ms: 5000
log: {level: debug, file: /tmp/log}
)";

constexpr const char *endpointSettings = R"(role: endpoint
node: e1
data_centre: buda
listen: {http: "127.0.0.1:0", peers: "127.0.0.1:9001"}
endpoint:
  labels: {zone: a}
  engine: {kind: model, url: "http://127.0.0.1:9100", models: [iroda-nyelv], idle_timeout_ms: 400}
  max_concurrency: 8
  queue_length: 0
)";

constexpr const char *gatewaySettings = R"(role: gateway
node: gateway-1
data_centre: buda
listen: {http: "127.0.0.1:8080", peers: "127.0.0.1:7340"}
store: {endpoints: ["http://127.0.0.1:8223"], timeout_ms: 1000}
gateway:
  status: 127.0.0.1:8220
  seeds: ["10.1.0.40:8229", "10.2.0.29:8229"]
  repeat_window_ms: 8000
  repeat_share: 0.25
  repeat_fixed: 90
)";

// Guards against keys that are validated but whose values are not stored in the settings.
TEST(daemon_settings, storesEntryKeys)
{
    daemon_settings expected;
    expected.node = "buda-entry-1";
    expected.dataCentre = "buda";
    expected.region = "kozep";
    expected.listen = {
        {"127.0.0.1", 8080}, socket_address {"127.0.0.1", 8081}, {"0.0.0.0", 0}, "/etc/c.pem", "/etc/k.pem"};
    expected.storeEndpoints = {"http://127.0.0.1:2379"};
    expected.storeTimeout = std::chrono::milliseconds(700);
    expected.endpoints = {{"e1", {"127.0.0.1", 9001}}};
    expected.peers = {{"pest-entry-1", {"127.0.0.1", 9002}}};
    expected.bodyLimit = 2048;
    expected.memoryLimit = 160UL * 1000 * 1000;
    expected.maxDescriptors = 4100;
    expected.drainTimeout = std::chrono::milliseconds(5000);
    expected.logLevel = "debug";
    expected.logFile = "/tmp/log";
    EXPECT_EQ(parseSettings(entrySettings).settings, expected);
}

TEST(daemon_settings, storesEndpointKeys)
{
    daemon_settings expected;
    expected.role = daemon_role::endpoint;
    expected.node = "e1";
    expected.dataCentre = "buda";
    expected.listen.peers = {"127.0.0.1", 9001};
    expected.endpoint = {{{"zone", "a"}},
                         endpoint_kind::model,
                         "http://127.0.0.1:9100",
                         {"iroda-nyelv"},
                         8,
                         0,
                         std::chrono::milliseconds(400)};
    EXPECT_EQ(parseSettings(endpointSettings).settings, expected);
}

TEST(daemon_settings, storesGatewayKeys)
{
    daemon_settings expected;
    expected.role = daemon_role::gateway;
    expected.node = "gateway-1";
    expected.dataCentre = "buda";
    expected.listen.http = {"127.0.0.1", 8080};
    expected.listen.peers = {"127.0.0.1", 7340};
    expected.storeEndpoints = {"http://127.0.0.1:8223"};
    expected.storeTimeout = std::chrono::milliseconds(1000);
    expected.gateway = {
        {"127.0.0.1", 8220}, {{"10.1.0.40", 8229}, {"10.2.0.29", 8229}}, {std::chrono::milliseconds(8000), 0.25, 90}};
    EXPECT_EQ(parseSettings(gatewaySettings).settings, expected);
}

struct settings_row
{
    const char *name; ///< The failure that the row guards against.
    const char *base;
    const char *replaced; ///< Text in the base document that is replaced.
    const char *replacement;
    std::vector<std::string> problems;
};

class settings_problems : public testing::TestWithParam<settings_row>
{
};

TEST_P(settings_problems, reportsEach)
{
    std::string yaml = GetParam().base;
    const auto place = yaml.find(GetParam().replaced);
    ASSERT_NE(place, std::string::npos);
    yaml.replace(place, std::string(GetParam().replaced).size(), GetParam().replacement);
    const auto parsed = parseSettings(yaml);
    std::vector<std::string> found;
    for (const configuration_problem &problem : parsed.problems) {
        found.push_back(problem.toString("s"));
    }
    EXPECT_EQ(found, GetParam().problems);
    EXPECT_FALSE(parsed.settings.has_value());
}

INSTANTIATE_TEST_SUITE_P(
    rows, settings_problems,
    testing::Values(
        settings_row {"unknown_role_accepted",
                      entrySettings,
                      "role: entry",
                      "role: proxy",
                      {"s:1: role: found \"proxy\", expected entry, endpoint or gateway"}},
        settings_row {"share_above_one_accepted",
                      gatewaySettings,
                      "repeat_share: 0.25",
                      "repeat_share: 1.25",
                      {"s:10: gateway.repeat_share: found \"1.25\", expected a number from 0 to 1"}},
        settings_row {"malformed_seed_accepted",
                      gatewaySettings,
                      "10.2.0.29:8229",
                      "gateway-2",
                      {"s:8: gateway.seeds[1]: found \"gateway-2\", expected IP:PORT"}},
        settings_row {"gateway_without_status_accepted",
                      gatewaySettings,
                      "  status: 127.0.0.1:8220\n",
                      "",
                      {"s:7: gateway.status: found nothing, expected an IPv4 address and port such as 127.0.0.1:8080"}},
        settings_row {"gateway_with_peers_of_an_entry_accepted",
                      gatewaySettings,
                      "gateway:\n",
                      "entry: {peers: []}\ngateway:\n",
                      {"s:6: entry: found the key, expected no such key, because the role is gateway"}},
        settings_row {"node_missing",
                      entrySettings,
                      "node: buda-entry-1",
                      "node:",
                      {"s:2: node: found nothing, expected 1 to 128 letters, digits, '.', '_' or '-'"}},
        settings_row {"unknown_nested_key_accepted",
                      entrySettings,
                      "level: debug",
                      "levle: debug",
                      {"s:16: log.levle: found an unknown key, expected file or level"}},
        settings_row {"host_name_accepted",
                      entrySettings,
                      "127.0.0.1:8080",
                      "localhost:8080",
                      {"s:6: listen.http: found \"localhost:8080\", expected an IPv4 address and port such as "
                       "127.0.0.1:8080"}},
        settings_row {"port_out_of_range",
                      entrySettings,
                      "127.0.0.1:8080",
                      "127.0.0.1:65536",
                      {"s:6: listen.http: found \"127.0.0.1:65536\", expected an IPv4 address and port such as "
                       "127.0.0.1:8080"}},
        settings_row {
            "peer_without_port",
            entrySettings,
            "127.0.0.1:9001",
            "127.0.0.1:0",
            {"s:12: entry.endpoints[0].address: found \"127.0.0.1:0\", expected an IPv4 address and port such "
             "as 127.0.0.1:8080, port not 0"}},
        settings_row {"certificate_without_key",
                      entrySettings,
                      ", key: /etc/k.pem",
                      "",
                      {"s:9: listen.tls.key: found nothing, expected a PEM file"}},
        settings_row {"store_missing",
                      entrySettings,
                      "endpoints: [\"http://127.0.0.1:2379\"], ",
                      "",
                      {"s:10: store.endpoints: found nothing, expected a list of at least one http://HOST:PORT or "
                       "https://HOST:PORT"}},
        settings_row {"store_url_malformed",
                      entrySettings,
                      "http://127.0.0.1:2379",
                      "127.0.0.1:2379",
                      {"s:10: store.endpoints[0]: found \"127.0.0.1:2379\", expected http://HOST:PORT or "
                       "https://HOST:PORT"}},
        settings_row {"negative_timeout_accepted",
                      entrySettings,
                      "timeout_ms: 700",
                      "timeout_ms: -1",
                      {"s:10: store.timeout_ms: found \"-1\", expected an integer from 1 to 3600000"}},
        settings_row {"body_larger_than_a_frame",
                      entrySettings,
                      "2048",
                      "4194304",
                      {"s:14: limits.body_bytes: found \"4194304\", expected an integer from 1 to 4128768"}},
        settings_row {"memory_limit_below_what_a_process_needs",
                      entrySettings,
                      "memory_mb: 160",
                      "memory_mb: 23",
                      {"s:14: limits.memory_mb: found \"23\", expected an integer from 24 to 1048576"}},
        settings_row {"descriptor_limit_below_what_a_process_needs",
                      entrySettings,
                      "max_descriptors: 4100",
                      "max_descriptors: 255",
                      {"s:14: limits.max_descriptors: found \"255\", expected an integer from 256 to 1048576"}},
        settings_row {"endpoint_section_ignored_at_entry",
                      entrySettings,
                      "limits:",
                      "endpoint: {}\nlimits:",
                      {"s:14: endpoint: found the key, expected no such key, because the role is entry"}},
        settings_row {"store_section_ignored_at_endpoint",
                      endpointSettings,
                      "endpoint:\n",
                      "store: {}\nendpoint:\n",
                      {"s:5: store: found the key, expected no such key, because the role is endpoint"}},
        settings_row {"model_engine_without_models",
                      endpointSettings,
                      "models: [iroda-nyelv], ",
                      "",
                      {"s:7: endpoint.engine.models: found nothing, expected a list of at least one model, because the "
                       "kind is model"}},
        settings_row {"engine_url_with_path",
                      endpointSettings,
                      "9100",
                      "9100/v1",
                      {"s:7: endpoint.engine.url: found \"http://127.0.0.1:9100/v1\", expected http://HOST:PORT"}},
        settings_row {"only_first_problem_reported",
                      endpointSettings,
                      "max_concurrency: 8\n  queue_length: 0",
                      "max_concurrency: 0\n  queue_length: x",
                      {"s:8: endpoint.max_concurrency: found \"0\", expected an integer from 1 to 100000",
                       "s:9: endpoint.queue_length: found \"x\", expected an integer from 0 to 100000"}}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against reading a directory or a missing file as an empty document.
TEST(read_text_file, reportsWhatCannotBeRead)
{
    EXPECT_EQ(readTextFile("/nonexistent").error().toString(),
              "file.read: not found (/nonexistent): No such file or directory");
    EXPECT_EQ(readTextFile("/").error().code, errc::not_found);
    EXPECT_EQ(readTextFile("/dev/null").value(), "");
}

} // namespace
} // namespace bronzechute
