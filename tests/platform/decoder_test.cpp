#include "rank_messages.h"
#include "routing/routing_table.h"
#include "routing_decoder.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>

namespace bronzechute::platform {

namespace {

const std::string validDocument = R"({"version":7,"routes":[
    {"name":"r1","hostname":"a.example","prefix":"/p/","route_type":"streaming","timeout_ms":8000,
     "target_latency_ms":400,"priority":1,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
     "max_attempts":2,"allow_anonymous":false,"sticky":true,"resumable":true,"target_gap_ms":120},
    {"name":"r2","hostname":"a.example","prefix":"/q/","route_type":"non_idempotent","timeout_ms":600,
     "target_latency_ms":100,"priority":2,"service":"s2","max_attempts":1}],
  "services":[{"name":"s1","health_check_path":"/healthz","max_connections":408,"protocol":"h1","tls":false,
     "cold_start_s":3.0,"cold_per_s":36.0,"engine":{"slots":12,"kv_tokens":372000,"stride":5,"step_ms":5.85,
     "link_mbps":92000.0,"sets":6,"experts":64,"places":11,"spare":4,"expert_mb":580.0,
     "usual":{"prompt":835,"answer":139}}}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}],"unknown_field":1})";

TEST(routing_decoder, decodesACompleteDocument)
{
    const auto decoded = decodeRouting(validDocument);
    ASSERT_TRUE(decoded) << decoded.error().detail;
    const routing_document &document = decoded.value();
    EXPECT_EQ(document.version, 7);
    ASSERT_EQ(document.routes.size(), 2U);
    EXPECT_EQ(document.routes[0].kind, request_kind::streaming);
    EXPECT_TRUE(document.routes[0].repeatable());
    EXPECT_EQ(document.routes[0].services[1], (weighted_service {"s2", 10}));
    EXPECT_EQ(document.routes[0].gapTarget, std::chrono::milliseconds(120));
    EXPECT_EQ(document.routes[1].services, (std::vector<weighted_service> {{"s2", 1}}));
    EXPECT_FALSE(document.routes[1].repeatable());
    ASSERT_TRUE(document.services.at(0).engine);
    EXPECT_EQ(document.services[0].engine->expertLayers, 6U);
    EXPECT_NEAR(document.services[0].engine->expertCopyMs, 50.4, 0.1);
    EXPECT_EQ(document.limits.idleTimeout, std::chrono::seconds(15));
    EXPECT_EQ(document.accounts.at(0).keys, (std::vector<std::string> {"k1", "k2"}));
}

struct tenants_case
{
    std::string name; ///< Failure that the row guards against.
    std::string member; ///< What stands in the document in place of its tenants.
    bool requiresKeys;
};

class tenants_of_a_document : public testing::TestWithParam<tenants_case>
{
};

// After the last tenant is gone, its key and unknown keys must not be admitted.
TEST_P(tenants_of_a_document, decideWhetherKeysAreRequired)
{
    const std::string listed = R"("tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}],)";
    std::string text = validDocument;
    text.replace(text.find(listed), listed.size(), GetParam().member);
    const auto decoded = decodeRouting(text);
    ASSERT_TRUE(decoded) << decoded.error().detail;
    const routing_table table(decoded.value());
    EXPECT_EQ(table.requiresKeys(), GetParam().requiresKeys);
    EXPECT_EQ(table.findAccount("k1"), nullptr);
}

INSTANTIATE_TEST_SUITE_P(rows, tenants_of_a_document,
                         testing::Values(tenants_case {"empty_list_admits_everybody", R"("tenants":[],)", true},
                                         tenants_case {"null_admits_everybody", R"("tenants":null,)", true},
                                         tenants_case {"tenant_without_keys_admits_everybody",
                                                       R"("tenants":[{"name":"t1","api_keys":[]}],)", true},
                                         tenants_case {"tenant_without_a_list_of_keys_admits_everybody",
                                                       R"("tenants":[{"name":"t1"}],)", true},
                                         tenants_case {"document_without_tenants_admits_nobody", "", false}),
                         [](const auto &row) { return row.param.name; });

struct malformed_case
{
    std::string name;
    std::string from; ///< Text of the valid document that is replaced.
    std::string to;
};

class malformed_routing : public testing::TestWithParam<malformed_case>
{
};

TEST_P(malformed_routing, isRejectedAsAWhole)
{
    std::string text = validDocument;
    text.replace(text.find(GetParam().from), GetParam().from.size(), GetParam().to);
    EXPECT_FALSE(decodeRouting(text));
}

INSTANTIATE_TEST_SUITE_P(rows, malformed_routing,
                         testing::Values(malformed_case {"not_json", "{\"version\":7", "{version"},
                                         malformed_case {"no_version", "\"version\":7", "\"edition\":7"},
                                         malformed_case {"version_is_text", "\"version\":7", "\"version\":\"7\""},
                                         malformed_case {"unknown_kind", "\"streaming\"", "\"sometimes\""},
                                         malformed_case {"timeout_of_zero", "\"timeout_ms\":600", "\"timeout_ms\":0"},
                                         malformed_case {"weights_of_zero",
                                                         "\"weight\":90},{\"service\":\"s2\",\"weight\":10",
                                                         "\"weight\":0},{\"service\":\"s2\",\"weight\":0"},
                                         malformed_case {"route_without_service",
                                                         "\"service\":\"s2\",\"max_attempts\":1", "\"max_attempts\":1"},
                                         malformed_case {"key_is_number", "\"k2\"", "2"},
                                         malformed_case {"routes_are_an_object", "\"routes\":[", "\"other\":["}),
                         [](const auto &row) { return row.param.name; });

const std::string validEntry = R"({"service":"s1","address":"10.1.0.9:8080","zone":"z1","version":"v1","slots":12,
    "state":"ready","cold_remaining_ms":250,"stage":"mixed","sequence":4,"born":1783699614079})";

TEST(endpoint_decoder, decodesACompleteEntry)
{
    const auto decoded = decodeEndpoint("i-1", validEntry);
    ASSERT_TRUE(decoded);
    endpoint_record expected;
    expected.id = "i-1";
    expected.service = "s1";
    expected.address = "10.1.0.9:8080";
    expected.dataCentre = "z1";
    expected.slots = 12;
    expected.coldRemaining = std::chrono::milliseconds(250);
    expected.startedAtMs = 1783699614079;
    EXPECT_EQ(decoded.value(), expected);
}

class malformed_entry : public testing::TestWithParam<malformed_case>
{
};

TEST_P(malformed_entry, isRejected)
{
    std::string text = validEntry;
    text.replace(text.find(GetParam().from), GetParam().from.size(), GetParam().to);
    EXPECT_FALSE(decodeEndpoint("i-1", text));
}

INSTANTIATE_TEST_SUITE_P(
    rows, malformed_entry,
    testing::Values(
        malformed_case {"not_json", "{", "\xff\xfe"}, malformed_case {"unknown_state", "ready", "resting"},
        malformed_case {"state_is_number", "\"ready\"", "1"},
        malformed_case {"no_service", "\"service\"", "\"purpose\""}, malformed_case {"no_slots", "\"slots\":12,", ""},
        malformed_case {"slots_of_zero", "\"slots\":12", "\"slots\":0"},
        malformed_case {"slots_are_a_fraction", "\"slots\":12", "\"slots\":1.5"},
        malformed_case {"sequence_is_text", "\"sequence\":4", "\"sequence\":\"4\""},
        malformed_case {"start_is_a_fraction", "1783699614079", "1.5"},
        malformed_case {"address_without_port", "10.1.0.9:8080", "10.1.0.9"},
        malformed_case {"port_too_high", ":8080", ":80800"},
        malformed_case {"number_too_large_for_any_type", "\"slots\":12", "\"slots\":1" + std::string(400, '0')},
        malformed_case {"exponent_too_large", "\"slots\":12", "\"slots\":1e999"},
        malformed_case {"slots_become_negative", "\"slots\":12", "\"slots\":2147483648"},
        malformed_case {"slots_become_small", "\"slots\":12", "\"slots\":4294967297"},
        malformed_case {"slots_exceed_64_bits", "\"slots\":12", "\"slots\":18446744073709551615"},
        malformed_case {"cold_time_overflows_the_clock", "\"cold_remaining_ms\":250",
                        "\"cold_remaining_ms\":9223372036854775807"},
        malformed_case {"start_lies_beyond_all_others", "1783699614079", "9223372036854775807"},
        malformed_case {"nested_deeply", "\"mixed\"", std::string(400'000, '[') + std::string(400'000, ']')},
        malformed_case {"nested_deeply_in_a_used_member", "\"s1\"",
                        std::string(400'000, '[') + std::string(400'000, ']')},
        malformed_case {"nested_without_an_end", "\"mixed\"", std::string(400'000, '[')},
        malformed_case {"port_of_zero", ":8080", ":0"}, malformed_case {"port_is_negative", ":8080", ":-1"},
        malformed_case {"address_is_a_name", "10.1.0.9:8080", "host.example:80"}),
    [](const auto &row) { return row.param.name; });

TEST(rank_messages, decodeAReport)
{
    const auto report = decodeReport(R"({"stage":"mixed","group":{"name":"g0-1","epoch":2,"rank":3,"state":"open"},
        "size":8,"sequence":5,"pace":1.5,"step":244,"map":70001,"prepared":70002,"armed":null,"held":250})");
    ASSERT_TRUE(report) << report.error().detail;
    EXPECT_EQ(report.value().group, "g0-1");
    EXPECT_EQ(report.value().epoch, 2);
    EXPECT_EQ(report.value().rank, 3U);
    EXPECT_TRUE(report.value().open);
    EXPECT_EQ(report.value().prepared, 70002);
    EXPECT_FALSE(report.value().armed);
    EXPECT_EQ(report.value().held, 250);
    EXPECT_FALSE(decodeReport("[]"));
    EXPECT_FALSE(decodeReport(R"({"group":{"name":"g","epoch":-1,"rank":0,"state":"open"},"size":8})"));
}

struct report_case
{
    std::string name; ///< Failure that the row guards against.
    std::string report;
};

class malformed_report : public testing::TestWithParam<report_case>
{
};

// The gateway keeps a place for each rank, so that an unchecked number could exhaust its memory.
TEST_P(malformed_report, isNotUsed)
{
    const auto report = decodeReport(GetParam().report);
    EXPECT_TRUE(!report || report.value().ranks <= 65535);
    EXPECT_TRUE(!report || (report.value().pace >= 1.0 && report.value().pace <= 1000.0));
}

INSTANTIATE_TEST_SUITE_P(
    rows, malformed_report,
    testing::Values(
        report_case {"huge_group", R"({"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":9000000000000})"},
        report_case {"negative_group", R"({"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":-1})"},
        report_case {"endless_slowdown",
                     R"({"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":2,"pace":1e300})"},
        report_case {"negative_slowdown",
                     R"({"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":2,"pace":-3})"}),
    [](const auto &row) { return row.param.name; });

TEST(rank_messages, decodeCountsAndExperts)
{
    const auto counts = decodeCounts(R"({"step":9,"epoch":1,"counts":[1,2,3,4]})", 2);
    ASSERT_TRUE(counts);
    EXPECT_EQ(counts.value().chosen.experts, 2U);
    EXPECT_EQ(counts.value().chosen.at(1, 0), 3.0);
    EXPECT_FALSE(decodeCounts(R"({"step":9,"epoch":1,"counts":[1,2,3]})", 2));
    const auto experts = decodeExperts(R"({"epoch":0,"map":{"version":4,"experts":[[5,13],[1]]},"prepared":null})");
    ASSERT_TRUE(experts);
    EXPECT_EQ(experts.value().version, 4);
    EXPECT_EQ(experts.value().byLayer[0], (std::vector<std::uint16_t> {5, 13}));
}

TEST(rank_messages, encodeCommands)
{
    expert_map map {1, 2, 2, {{0}, {0, 1}}};
    EXPECT_EQ(nlohmann::json::parse(encodeCommand({rank_command_kind::prepare, 1, 4, 0}, map)),
              nlohmann::json::parse(R"({"operation":"prepare","version":4,"epoch":1,"map":[[[0,1],[1]]]})"));
    EXPECT_EQ(nlohmann::json::parse(encodeCommand({rank_command_kind::release, 1, 4, 30}, map)),
              nlohmann::json::parse(R"({"operation":"go","epoch":1,"step":30})"));
}

} // namespace

} // namespace bronzechute::platform
