#include "request/answer_assembler.h"

#include "request/send_window.h"

#include <gtest/gtest.h>

#include <vector>

namespace bronzechute {
namespace {

constexpr std::size_t bufferLimit = 64;
const attempt_id current {{1, 2}, 2};
const attempt_id earlier {{1, 2}, 1};
const attempt_id other {{9, 9}, 2};

/** Data frames "ab", "cd" and "ef" of an answer, and its end frame. */
struct sample_answer
{
    std::vector<data_frame> data;
    end_frame end;
};

sample_answer makeAnswer(const attempt_id &id)
{
    send_window window(id, bufferLimit);
    std::vector<data_frame> data {window.push("ab"), window.push("cd"), window.push("ef")};
    return {data, window.end()};
}

enum class step_kind { data, end, stale_data, stale_end, foreign_data, foreign_end, short_end, wrong_digest };

struct step
{
    step_kind kind;
    std::size_t index;
    frame_verdict verdict;
};

struct assembler_row
{
    const char *name; ///< The failure that the row guards against.
    std::vector<step> steps;
    std::string text;
    bool complete;
};

frame_verdict apply(answer_assembler &assembler, const step &each, std::string &text)
{
    const sample_answer answer = makeAnswer(current);
    end_frame end = answer.end;
    switch (each.kind) {
    case step_kind::data:
        return assembler.addData(answer.data[each.index], text);
    case step_kind::end:
        return assembler.addEnd(end);
    case step_kind::stale_data:
        return assembler.addData(makeAnswer(earlier).data[each.index], text);
    case step_kind::stale_end:
        return assembler.addEnd(makeAnswer(earlier).end);
    case step_kind::foreign_data:
        return assembler.addData(makeAnswer(other).data[each.index], text);
    case step_kind::foreign_end:
        return assembler.addEnd(makeAnswer(other).end);
    case step_kind::short_end:
        end.frames = 2;
        return assembler.addEnd(end);
    case step_kind::wrong_digest:
        ++end.digest;
        return assembler.addEnd(end);
    }
    return frame_verdict::foreign;
}

class answer_assembler_rows : public testing::TestWithParam<assembler_row>
{
};

TEST_P(answer_assembler_rows, acceptOnlyACompleteAnswer)
{
    answer_assembler assembler(current, bufferLimit);
    std::string text;
    for (const step &each : GetParam().steps) {
        EXPECT_EQ(apply(assembler, each, text), each.verdict);
    }
    EXPECT_EQ(text, GetParam().text);
    EXPECT_EQ(assembler.complete(), GetParam().complete);
}

using enum step_kind;
using v = frame_verdict;

INSTANTIATE_TEST_SUITE_P(
    rows, answer_assembler_rows,
    testing::Values(
        assembler_row {"in_order_not_whole",
                       {{data, 0, v::accepted}, {data, 1, v::accepted}, {data, 2, v::accepted}, {end, 0, v::accepted}},
                       "abcdef",
                       true},
        assembler_row {"reordered_frames_swapped",
                       {{data, 2, v::buffered}, {data, 0, v::accepted}, {data, 1, v::accepted}, {end, 0, v::accepted}},
                       "abcdef",
                       true},
        assembler_row {"end_before_last_data_ends_early",
                       {{data, 0, v::accepted}, {end, 0, v::buffered}, {data, 2, v::buffered}, {data, 1, v::accepted}},
                       "abcdef",
                       true},
        assembler_row {
            "duplicate_doubled",
            {{data, 0, v::accepted}, {data, 0, v::duplicate}, {data, 2, v::buffered}, {data, 2, v::duplicate}},
            "ab",
            false},
        assembler_row {
            "gap_seen_as_whole", {{data, 0, v::accepted}, {data, 2, v::buffered}, {end, 0, v::buffered}}, "ab", false},
        assembler_row {"older_attempt_mixed_in",
                       {{stale_data, 0, v::stale_attempt}, {data, 0, v::accepted}, {stale_end, 0, v::stale_attempt}},
                       "ab",
                       false},
        assembler_row {"foreign_answer_mixed_in",
                       {{foreign_data, 0, v::foreign}, {data, 0, v::accepted}, {foreign_end, 0, v::foreign}},
                       "ab",
                       false},
        assembler_row {
            "short_count_accepted",
            {{data, 0, v::accepted}, {data, 1, v::accepted}, {data, 2, v::accepted}, {short_end, 0, v::corrupt}},
            "abcdef",
            false},
        assembler_row {
            "wrong_digest_accepted",
            {{data, 0, v::accepted}, {data, 1, v::accepted}, {data, 2, v::accepted}, {wrong_digest, 0, v::corrupt}},
            "abcdef",
            false},
        assembler_row {
            "wrong_digest_accepted_when_end_came_first",
            {{wrong_digest, 0, v::buffered}, {data, 0, v::accepted}, {data, 1, v::accepted}, {data, 2, v::corrupt}},
            "abcdef",
            false}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(answer_assembler, limitsTheBufferedBytes)
{
    answer_assembler assembler(current, bufferLimit);
    std::string text;
    EXPECT_EQ(assembler.addData({current, 1, std::string(bufferLimit, 'x')}, text), frame_verdict::buffered);
    EXPECT_EQ(assembler.addData({current, 2, "y"}, text), frame_verdict::overflow);
}

TEST(send_window, retainsFramesUntilTheyAreCredited)
{
    send_window window(current, 4);
    window.push("ab");
    EXPECT_FALSE(window.isFull());
    window.push("cd");
    EXPECT_TRUE(window.isFull());
    window.credit(1);
    EXPECT_FALSE(window.isFull());
    EXPECT_FALSE(window.canReplayFrom(0));
    ASSERT_TRUE(window.canReplayFrom(1));
    ASSERT_EQ(window.framesFrom(1).size(), 1U);
    EXPECT_EQ(window.framesFrom(1)[0].bytes, "cd");
    window.credit(2);
    EXPECT_TRUE(window.isDrained());
    EXPECT_TRUE(window.canReplayFrom(2));
}

} // namespace
} // namespace bronzechute
