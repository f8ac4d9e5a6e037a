#include "standins/http_fetch.h"
#include "standins/local_system.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace bronzechute::standins {
namespace {

/** One entry, one model and one order book, shared by the rows. */
class whole_path : public testing::Test
{
public:
    static void SetUpTestSuite()
    {
        system = std::make_unique<local_system>();
        system->startStore();
        system->startModel("model-1", "buda");
        system->startService("office-1", "pest");
        system->startEntry("entry-1", "buda");
        system->apply(local_system::exampleConfiguration());
        ASSERT_TRUE(system->waitReady("entry-1", 2));
    }

    static void TearDownTestSuite()
    {
        system.reset();
    }

    static std::unique_ptr<local_system> system;
};

std::unique_ptr<local_system> whole_path::system;

TEST_F(whole_path, streamsACompletionToItsEnd)
{
    const fetch_answer answer = system->complete("entry-1", 20, true);
    EXPECT_EQ(answer.code, CURLE_OK);
    EXPECT_EQ(answer.status, 200) << answer.body;
    EXPECT_NE(answer.body.find("data: [DONE]"), std::string::npos) << answer.body;
}

TEST_F(whole_path, answersAWholeCompletion)
{
    const fetch_answer answer = system->complete("entry-1", 20, false);
    ASSERT_EQ(answer.status, 200) << answer.body;
    EXPECT_EQ(findHeader(answer.headers, "X-Bronzechute-Outcome"), "answered");
    EXPECT_EQ(nlohmann::json::parse(answer.body)["usage"]["completion_tokens"], 20);
}

TEST_F(whole_path, booksAnOrderOnceAndReadsItBack)
{
    const fetch_answer booked = system->order("entry-1", "envelope", {{"Idempotency-Key", "first"}});
    ASSERT_EQ(booked.status / 100, 2) << booked.body;
    fetch_request read;
    read.url = system->url("entry-1") + "/orders";
    read.headers = {{"Authorization", "Bearer example-office-key"}};
    const fetch_answer listed = fetch(read);
    EXPECT_EQ(listed.status, 200);
    EXPECT_NE(listed.body.find("envelope"), std::string::npos) << listed.body;
}

TEST_F(whole_path, servesModelsHealthAndMetrics)
{
    fetch_request models;
    models.url = system->url("entry-1") + "/v1/models";
    models.headers = {{"Authorization", "Bearer example-member-key"}};
    EXPECT_NE(fetch(models).body.find("iroda-nyelv"), std::string::npos);
    EXPECT_EQ(fetch(system->url("entry-1") + "/health").status, 200);
    EXPECT_EQ(fetch(system->url("model-1") + "/ready").status, 200);
    EXPECT_NE(fetch(system->url("entry-1") + "/metrics").body.find("bronzechute_requests_total"), std::string::npos);
}

struct rejected_row
{
    const char *name; ///< The failure that the row guards against.
    std::string path;
    std::string key;
    std::string body;
    long status;
    std::string field;
};

class whole_path_rejects : public whole_path, public testing::WithParamInterface<rejected_row>
{
};

TEST_P(whole_path_rejects, beforeAnyEndpoint)
{
    const std::string before = nlohmann::json::parse(system->stats("model-1.engine"))["requests"].dump();
    fetch_request request;
    request.url = system->url("entry-1") + GetParam().path;
    request.method = "POST";
    if (!GetParam().key.empty()) {
        request.headers = {{"Authorization", "Bearer " + GetParam().key}};
    }
    request.body = GetParam().body;
    const fetch_answer answer = fetch(request);
    EXPECT_EQ(answer.status, GetParam().status) << answer.body;
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    ASSERT_TRUE(body.contains("error")) << answer.body;
    EXPECT_EQ(body["error"].value("field", ""), GetParam().field);
    EXPECT_EQ(findHeader(answer.headers, "X-Bronzechute-Outcome"), "not_run");
    EXPECT_EQ(nlohmann::json::parse(system->stats("model-1.engine"))["requests"].dump(), before);
}

const std::string chat = "/v1/chat/completions";
const std::string officeKey = "example-office-key";

INSTANTIATE_TEST_SUITE_P(
    rows, whole_path_rejects,
    testing::Values(
        rejected_row {"missing_key_served", chat, "", "{}", 401, "Authorization"},
        rejected_row {"unknown_key_served", chat, "wrong", "{}", 401, "Authorization"},
        rejected_row {"malformed_json_forwarded", chat, officeKey, "{", 400, "body"},
        rejected_row {"array_body_forwarded", chat, officeKey, "[]", 400, "body"},
        rejected_row {"missing_model_forwarded", chat, officeKey, "{}", 400, "model"},
        rejected_row {"unknown_model_forwarded", chat, officeKey, R"({"model":"x"})", 404, "model"},
        rejected_row {"missing_messages_forwarded", chat, officeKey, R"({"model":"iroda-nyelv"})", 400, "messages"},
        rejected_row {"message_without_role_forwarded", chat, officeKey,
                      R"({"model":"iroda-nyelv","messages":[{"content":"x"}]})", 400, "messages[0].role"},
        rejected_row {"stream_of_wrong_type_forwarded", chat, officeKey,
                      R"({"model":"iroda-nyelv","stream":1,"messages":[{"role":"user","content":"x"}]})", 400,
                      "stream"},
        rejected_row {"zero_tokens_forwarded", chat, officeKey,
                      R"({"model":"iroda-nyelv","max_tokens":0,"messages":[{"role":"user","content":"x"}]})", 400,
                      "max_tokens"},
        rejected_row {"missing_prompt_forwarded", "/v1/completions", officeKey, R"({"model":"iroda-nyelv"})", 400,
                      "prompt"},
        rejected_row {"oversized_body_forwarded", chat, officeKey, std::string(std::size_t {2} * 1024 * 1024, ' '), 413,
                      "body"},
        rejected_row {"unknown_path_forwarded", "/nothing", officeKey, "{}", 404, "path"}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute::standins
