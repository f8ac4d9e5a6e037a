#include "request/stream_continuation.h"

#include <gtest/gtest.h>

#include <functional>

namespace bronzechute {
namespace {

using nlohmann::json;

const std::string chatBody =
    R"({"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":9,"stream":true})";
const std::string completionBody = R"({"model":"m","prompt":"hi","max_tokens":9,"stream":true})";

std::string chatEvent(const std::string &id, const std::string &delta, const std::string &rest = "")
{
    return R"(data: {"id":")" + id + R"(","choices":[{"index":0,"delta":)" + delta + R"(,"finish_reason":null}])" + rest
        + "}\n\n";
}

std::string textEvent(const std::string &id, const std::string &text)
{
    return R"(data: {"id":")" + id + R"(","choices":[{"index":0,"text":")" + text + R"(","finish_reason":null}]})"
        + "\n\n";
}

std::string lastEvent(const std::string &id, const std::string &usage)
{
    return R"(data: {"id":")" + id + R"(","choices":[{"index":0,"delta":{},"finish_reason":"length"}],"usage":)" + usage
        + "}\n\n";
}

const std::string done = "data: [DONE]\n\n";

struct next_body_row
{
    const char *name; ///< The failure that the row guards against.
    bool chat;
    std::string body;
    std::string relayed;
    std::optional<json> next; ///< Expected fields of the next request; nothing when it must not be continued.
};

class next_body : public testing::TestWithParam<next_body_row>
{
};

TEST_P(next_body, continuesOnlyWhatCanBeContinued)
{
    const next_body_row &row = GetParam();
    stream_continuation stream(row.chat, row.body);
    EXPECT_EQ(stream.feed(row.relayed), row.relayed.substr(0, row.relayed.rfind("\n\n") + 2));
    const auto next = stream.continuationBody();
    ASSERT_EQ(next.has_value(), row.next.has_value()) << next.value_or("");
    if (next) {
        const json body = json::parse(*next);
        for (const auto &[name, value] : row.next->items()) {
            EXPECT_EQ(body.value(name, json()), value) << name;
        }
    }
}

/** @returns the chat request with an additional field. */
std::string chatWith(const std::string &field)
{
    return chatBody.substr(0, chatBody.size() - 1) + "," + field + "}";
}

const std::string twoTokens = chatEvent("a", R"({"role":"assistant","content":""})")
    + chatEvent("a", R"({"content":"x"})") + chatEvent("a", R"({"content":" \n\"y"})");

INSTANTIATE_TEST_SUITE_P(
    rows, next_body,
    testing::Values(
        next_body_row {"chat_text_lost", true, chatBody, twoTokens,
                       json {{"messages",
                              {{{"role", "user"}, {"content", "hi"}}, {{"role", "assistant"}, {"content", "x \n\"y"}}}},
                             {"continue_final_message", true},
                             {"add_generation_prompt", false},
                             {"max_tokens", 7},
                             {"model", "m"}}},
        next_body_row {"completion_text_lost", false, completionBody, textEvent("a", "x") + textEvent("a", "y"),
                       json {{"prompt", "hixy"}, {"max_tokens", 7}}},
        next_body_row {"incomplete_event_counted_as_relayed", false, completionBody,
                       textEvent("a", "x") + R"(data: {"id":"a","choices":[{"ind)",
                       json {{"prompt", "hix"}, {"max_tokens", 8}}},
        next_body_row {"default_limit_granted_twice", false, R"({"prompt":"hi","stream":true})", textEvent("a", "x"),
                       json {{"max_tokens", 15}}},
        next_body_row {"event_of_several_tokens_counted_as_one", true, chatBody,
                       chatEvent("a", R"({"content":"x y z"})", R"(,"usage":{"completion_tokens":3})"),
                       json {{"max_tokens", 6}}},
        next_body_row {"newer_name_of_the_limit_not_lowered", true,
                       R"({"messages":[{"role":"user","content":"hi"}],"max_completion_tokens":9,"min_tokens":1})",
                       twoTokens, json {{"max_completion_tokens", 7}, {"min_tokens", 0}}},
        next_body_row {"nothing_relayed_not_sent_as_it_was", true, chatBody, "",
                       json {{"messages", {{{"role", "user"}, {"content", "hi"}}}},
                             {"continue_final_message", nullptr},
                             {"max_tokens", 9}}},
        next_body_row {"limit_of_tokens_exceeded",
                       true,
                       R"({"messages":[{"role":"user","content":"hi"}],"max_tokens":2})",
                       twoTokens,
                       {}},
        next_body_row {"finished_text_continued", true, chatBody, twoTokens + lastEvent("a", "null"), {}},
        next_body_row {"ended_text_continued", true, chatBody, twoTokens + done, {}},
        next_body_row {"several_choices_continued", true, chatWith(R"("n":2)"), twoTokens, {}},
        next_body_row {"request_with_tools_continued", true, chatWith(R"("tools":[{}])"), twoTokens, {}},
        next_body_row {"logprobs_lost", true, chatWith(R"("logprobs":true)"), twoTokens, {}},
        next_body_row {
            "output_format_begun_anew", true, chatWith(R"("response_format":{"type":"json_object"})"), twoTokens, {}},
        next_body_row {"second_choice_continued_as_the_first",
                       true,
                       chatBody,
                       "data: {\"choices\":[{\"index\":1,\"delta\":{\"content\":\"x\"}}]}\n\n",
                       {}},
        next_body_row {"tool_call_continued_as_text",
                       true,
                       chatBody,
                       twoTokens + chatEvent("a", R"({"tool_calls":[{"index":0}]})"),
                       {}},
        next_body_row {"reasoning_continued_as_text",
                       true,
                       chatBody,
                       twoTokens + chatEvent("a", R"({"reasoning_content":"hm"})"),
                       {}},
        next_body_row {"unreadable_event_continued", true, chatBody, twoTokens + "data: {\"id\n\n", {}},
        next_body_row {"error_of_the_engine_continued",
                       true,
                       chatBody,
                       twoTokens + "data: {\"error\":{\"message\":\"engine died\"}}\n\n",
                       {}},
        next_body_row {"body_that_is_no_json_crashes", true, "{", twoTokens, {}}),
    [](const auto &row) { return std::string(row.param.name); });

struct rewrite_row
{
    const char *name; ///< The failure that the row guards against.
    std::string first; ///< Received from the attempt that broke.
    std::string second; ///< Received from the engine that continues.
    std::string relayed; ///< Expected bytes for the caller from the second; empty when broken.
    bool broken;
};

class rewritten_events : public testing::TestWithParam<rewrite_row>
{
};

TEST_P(rewritten_events, formOneStreamForEverySplitOfTheBytes)
{
    const rewrite_row &row = GetParam();
    for (std::size_t step = 1; step <= row.second.size(); ++step) {
        stream_continuation stream(true, chatBody);
        stream.feed(row.first);
        stream.beginContinuation();
        std::string relayed;
        for (std::size_t at = 0; at < row.second.size(); at += step) {
            relayed += stream.feed(std::string_view(row.second).substr(at, step));
        }
        relayed += stream.end();
        ASSERT_EQ(stream.broken(), row.broken) << "step " << step;
        if (!row.broken) {
            ASSERT_EQ(relayed, row.relayed) << "step " << step;
        } else {
            ASSERT_EQ(relayed.find("[DONE]"), std::string::npos) << relayed;
        }
    }
}

const std::string usageOfSecond = R"({"prompt_tokens":12,"completion_tokens":7,"total_tokens":19})";
const std::string usageOfAll = R"({"prompt_tokens":10,"completion_tokens":9,"total_tokens":19})";

INSTANTIATE_TEST_SUITE_P(
    rows, rewritten_events,
    testing::Values(
        rewrite_row {"second_id_or_role_shown", twoTokens,
                     chatEvent("b", R"({"role":"assistant","content":""})") + chatEvent("b", R"({"content":"z"})")
                         + lastEvent("b", usageOfSecond) + done,
                     chatEvent("a", R"({"content":"z"})") + lastEvent("a", usageOfAll) + done, false},
        rewrite_row {"half_of_an_event_joined_to_the_next_engine", twoTokens + "data: {\"id\":\"a\",",
                     chatEvent("b", R"({"content":"z"})") + lastEvent("b", "null") + done,
                     chatEvent("a", R"({"content":"z"})") + lastEvent("a", "null") + done, false},
        rewrite_row {"role_lost_when_the_first_engine_sent_nothing", "",
                     chatEvent("b", R"({"role":"assistant","content":""})") + lastEvent("b", "null") + done,
                     chatEvent("b", R"({"role":"assistant","content":""})") + lastEvent("b", "null") + done, false},
        rewrite_row {"comment_taken_for_an_event", twoTokens, ": ping\n\n" + lastEvent("b", "null") + done,
                     ": ping\n\n" + lastEvent("a", "null") + done, false},
        rewrite_row {"missing_finish_seen_as_end", twoTokens, chatEvent("b", R"({"content":"z"})"), "", true},
        rewrite_row {"done_without_finish_seen_as_end", twoTokens, chatEvent("b", R"({"content":"z"})") + done, "",
                     true},
        rewrite_row {"half_of_an_event_seen_as_end", twoTokens, lastEvent("b", "null") + "data: x", "", true},
        rewrite_row {"unreadable_event_relayed", twoTokens, "data: {\"id\n\n" + lastEvent("b", "null") + done, "",
                     true},
        rewrite_row {"error_event_relayed_as_text", twoTokens, "data: {\"error\":{}}\n\n" + done, "", true}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(stream_continuation, countsTheTokensOfEveryAttempt)
{
    stream_continuation stream(true, chatBody);
    for (const char *id : {"a", "b"}) {
        stream.feed(chatEvent(id, R"({"content":"x"})") + chatEvent(id, R"({"content":"y"})"));
        stream.beginContinuation();
    }
    const json next = json::parse(stream.continuationBody().value());
    EXPECT_EQ(next["max_tokens"], 5);
    EXPECT_EQ(next["messages"].size(), 2U);
    EXPECT_EQ(next["messages"][1]["content"], "xyxy");
}

TEST(stream_continuation, limitsTheBufferedPartAndRelaysTheRest)
{
    const std::string event = chatEvent("a", R"({"content":")" + std::string(1000, 'x') + "\"}");
    const std::string unlimited = R"({"messages":[{"role":"user","content":"hi"}]})";
    stream_continuation longText(true, unlimited);
    for (std::size_t sent = 0; sent <= stream_continuation::maxTextBytes; sent += 1000) {
        ASSERT_EQ(longText.feed(event), event);
    }
    EXPECT_FALSE(longText.continuationBody());
    stream_continuation longEvent(true, unlimited);
    const std::string endless = "data: " + std::string(stream_continuation::maxEventBytes, 'x');
    EXPECT_EQ(longEvent.feed(endless), endless);
    EXPECT_FALSE(longEvent.continuationBody());
}

} // namespace
} // namespace bronzechute
