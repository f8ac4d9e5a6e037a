#include "quarantine/part_quarantine.h"

#include "quarantine/crash_evidence_codec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;
using parts = std::vector<std::string>;

constexpr time_point start {1000h};

/** One gateway's decisions, with a clock that the test moves. */
class quarantine_run
{
public:
    time_point now = start;
    part_quarantine quarantine {1};

    void answer(const parts &prompt)
    {
        quarantine.recordAnswer(prompt, now);
    }

    /** An answer comes beyond its beginning. */
    void begin(const parts &prompt)
    {
        quarantine.recordBeginning(prompt, now);
    }

    /** Answers other prompts, so that the gateway knows what is popular. */
    void learn()
    {
        answer({"system"});
        now += part_quarantine::learningTime;
        answer({"system"});
    }

    void crash(const std::vector<crash_suspect> &suspects)
    {
        quarantine.recordCrash({{"e" + std::to_string(++m_crashes), 1}, now, suspects});
        quarantine.update(now);
    }

    void settle()
    {
        now += part_quarantine::settlingTime;
        quarantine.update(now);
    }

    bool blocks(const parts &prompt) const
    {
        return quarantine.blocking(prompt, now).has_value();
    }

private:
    int m_crashes = 0;
};

struct step
{
    enum class kind { answer, beginning, begun, writing, waiting, pause } what;
    parts prompt;
    boot_clock::duration time {0}; ///< Of a pause.
};

struct judgement_row
{
    const char *name; ///< Failure that the row guards against.
    std::vector<step> steps; ///< Crashes with one suspect each, and answers.
    parts blocked;
    parts allowed;
};

using enum step::kind;

class judgement : public testing::TestWithParam<judgement_row>
{
};

TEST_P(judgement, blocksWhatCrashesAndNothingElse)
{
    quarantine_run run;
    run.learn();
    for (const step &next : GetParam().steps) {
        if (next.what == answer) {
            run.answer(next.prompt);
        } else if (next.what == beginning) {
            run.begin(next.prompt);
        } else if (next.what == pause) {
            run.now += next.time;
        } else {
            run.crash({{next.prompt, next.what == begun || next.what == writing, next.what == writing}});
            run.settle();
        }
    }
    for (const std::string &part : GetParam().blocked) {
        EXPECT_TRUE(run.blocks({part})) << part;
    }
    for (const std::string &part : GetParam().allowed) {
        EXPECT_FALSE(run.blocks({part})) << part;
    }
}

INSTANTIATE_TEST_SUITE_P(
    rows, judgement,
    testing::Values(
        judgement_row {
            "one_crash_does_not_hold_back_an_unknown_part", {{begun, {"system", "bad"}}}, {"bad"}, {"system"}},
        judgement_row {"few_bad_requests_far_apart_are_not_recognized",
                       {{begun, {"system", "bad"}},
                        {pause, {}, 4min},
                        {answer, {"system"}},
                        {begun, {"system", "bad"}},
                        {pause, {}, 4min}},
                       {"bad"},
                       {"system"}},
        judgement_row {"cause_that_was_given_up_before_the_crash_is_not_recognized",
                       {{waiting, {"system", "bad"}},
                        {pause, {}, 1s},
                        {waiting, {"system", "bad"}},
                        {pause, {}, 1s},
                        {answer, {"system"}},
                        {waiting, {"system", "bad"}},
                        {pause, {}, 1s},
                        {waiting, {"system", "bad"}}},
                       {"bad"},
                       {"system"}},
        judgement_row {"part_that_was_sound_before_is_trusted_for_good",
                       {{answer, {"later_bad"}},
                        {pause, {}, 1s},
                        {begun, {"later_bad"}},
                        {pause, {}, 1s},
                        {begun, {"later_bad"}},
                        {pause, {}, 1s},
                        {begun, {"later_bad"}},
                        {pause, {}, 1s},
                        {begun, {"later_bad"}}},
                       {"later_bad"},
                       {"system"}},
        judgement_row {"two_bad_parts_hide_each_other",
                       {{begun, {"system", "bad1"}},
                        {begun, {"system", "bad2"}},
                        {pause, {}, 1s},
                        {answer, {"system"}},
                        {begun, {"system", "bad1"}},
                        {begun, {"system", "bad2"}},
                        {pause, {}, 1min}},
                       {"bad1", "bad2"},
                       {"system"}},
        judgement_row {"new_beginning_shared_by_all_bad_requests_is_taken_for_bad",
                       {{begun, {"new_beginning", "bad"}}, {begun, {"new_beginning", "bad"}}, {pause, {}, 1min}},
                       {"bad"},
                       {"new_beginning"}},
        judgement_row {"bad_beginning_is_not_recognized_behind_its_continuations",
                       {{begun, {"bad_beginning", "a"}},
                        {begun, {"bad_beginning", "b"}},
                        {begun, {"bad_beginning", "c"}},
                        {pause, {}, 1min}},
                       {"bad_beginning"},
                       {"a", "b", "c", "system"}},
        judgement_row {"popular_prompt_beside_crashes_with_other_causes_is_taken_for_bad",
                       {{begun, {"popular"}},
                        {answer, {"popular"}},
                        {begun, {"popular"}},
                        {answer, {"popular"}},
                        {begun, {"popular"}},
                        {answer, {"popular"}},
                        {begun, {"popular"}},
                        {answer, {"popular"}},
                        {begun, {"popular"}},
                        {answer, {"popular"}}},
                       {},
                       {"popular"}},
        judgement_row {
            "waiting_request_is_taken_for_bad_after_three_crashes",
            {{waiting, {"rare"}}, {pause, {}, 1s}, {waiting, {"rare"}}, {pause, {}, 1s}, {waiting, {"rare"}}},
            {},
            {"rare"}},
        judgement_row {"old_crashes_count_for_ever",
                       {{begun, {"rare"}}, {pause, {}, 11min}, {answer, {"system"}}, {begun, {"other"}}},
                       {"other"},
                       {"rare"}},
        judgement_row {
            "suspicion_lasts_although_nothing_confirms_it", {{begun, {"rare"}}, {pause, {}, 41s}}, {}, {"rare"}},
        judgement_row {"part_that_crashes_in_mid_answer_is_cleared_by_the_beginnings_of_its_answers",
                       {{beginning, {"system", "bad"}},
                        {writing, {"system", "bad"}},
                        {pause, {}, 1s},
                        {answer, {"system"}},
                        {beginning, {"system", "bad"}},
                        {writing, {"system", "bad"}},
                        {pause, {}, 1s},
                        {answer, {"system"}},
                        {beginning, {"system", "bad"}},
                        {writing, {"system", "bad"}},
                        {pause, {}, 1s},
                        {answer, {"system"}},
                        {beginning, {"system", "bad"}},
                        {writing, {"system", "bad"}}},
                       {"bad"},
                       {"system"}},
        judgement_row {"part_that_crashes_now_sooner_now_later_is_not_recognized",
                       {{begun, {"bad"}},
                        {pause, {}, 1s},
                        {beginning, {"bad"}},
                        {writing, {"bad"}},
                        {pause, {}, 1s},
                        {begun, {"bad"}},
                        {pause, {}, 1s},
                        {beginning, {"bad"}},
                        {writing, {"bad"}},
                        {pause, {}, 1s},
                        {begun, {"bad"}},
                        {pause, {}, 1s},
                        {beginning, {"bad"}},
                        {writing, {"bad"}}},
                       {"bad"},
                       {"system"}},
        judgement_row {"long_answers_beside_crashes_with_other_causes_are_taken_for_bad",
                       {{writing, {"long"}},
                        {pause, {}, 1s},
                        {writing, {"long"}},
                        {answer, {"long"}},
                        {writing, {"long"}},
                        {pause, {}, 1s},
                        {writing, {"long"}},
                        {answer, {"long"}},
                        {writing, {"long"}}},
                       {},
                       {"long"}},
        judgement_row {"one_lost_answer_of_an_unknown_part_is_a_suspicion", {{writing, {"rare"}}}, {}, {"rare"}},
        judgement_row {
            "answer_that_is_lost_three_times_is_taken_for_bad",
            {{writing, {"rare"}}, {pause, {}, 1s}, {writing, {"rare"}}, {pause, {}, 1s}, {writing, {"rare"}}},
            {},
            {"rare"}}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(part_quarantine, doesNotTakeAllPromptsOfALostDataCentreForBad)
{
    quarantine_run run;
    run.learn();
    run.answer({"popular"});
    for (int endpoint = 0; endpoint < 20; ++endpoint) {
        run.crash({{{"popular"}, true}, {{"system"}, true}, {{"rare" + std::to_string(endpoint)}, false}});
        run.now += 10ms;
    }
    run.settle();
    EXPECT_FALSE(run.blocks({"popular"}));
    EXPECT_FALSE(run.blocks({"system"}));
    EXPECT_FALSE(run.blocks({"rare1"}));
}

TEST(part_quarantine, doesNotSuspectAnybodyBeforeItKnowsWhatIsPopular)
{
    quarantine_run run;
    run.answer({"system"});
    run.crash({{{"popular"}, true}});
    run.settle();
    EXPECT_FALSE(run.blocks({"popular"}));
}

TEST(part_quarantine, doesNotSuspectOneOfSeveralThatBeganTogether)
{
    quarantine_run run;
    run.learn();
    run.crash({{{"rare1"}, true}, {{"rare2"}, true}});
    run.settle();
    EXPECT_FALSE(run.blocks({"rare1"}));
    EXPECT_FALSE(run.blocks({"rare2"}));
}

TEST(part_quarantine, convictsManyAtOnceInOneSecond)
{
    quarantine_run run;
    run.learn();
    for (int count = 0; count < 4; ++count) {
        run.crash({{{"system", "bad"}, true}, {{"system"}, true}});
    }
    run.settle();
    EXPECT_TRUE(run.blocks({"system", "bad"}));
    EXPECT_EQ(run.quarantine.evidence(run.now).quarantined.front().convictions, 1);
    EXPECT_FALSE(run.blocks({"system"}));
}

// Sound requests that had just begun at the crashed endpoints took the blame alone.
TEST(part_quarantine, convictsAPartInMidAnswerBesideRequestsThatBegin)
{
    quarantine_run run;
    run.learn();
    for (int count = 0; count < 4; ++count) {
        run.begin({"system", "bad"});
        run.crash({{{"system", "bad"}, true, true}, {{"system", "own" + std::to_string(count)}, true}});
        run.now += 1s;
        run.answer({"system"});
    }
    run.settle();
    EXPECT_TRUE(run.blocks({"system", "bad"}));
    EXPECT_FALSE(run.blocks({"system"}));
}

TEST(part_quarantine, doesNotTakeLongAnswersOfALostDataCentreForBad)
{
    quarantine_run run;
    run.learn();
    for (int endpoint = 0; endpoint < 20; ++endpoint) {
        run.crash({{{"long"}, true, true}, {{"rare" + std::to_string(endpoint)}, true, true}});
        run.now += 10ms;
    }
    run.settle();
    EXPECT_FALSE(run.blocks({"long"}));
    EXPECT_FALSE(run.blocks({"rare1"}));
}

/** A run in which "bad" was convicted just now. */
quarantine_run convictedRun()
{
    quarantine_run run;
    run.learn();
    run.crash({{{"bad"}, true}});
    run.crash({{{"bad"}, true}});
    run.settle();
    return run;
}

TEST(part_quarantine, letsSingleRequestsThroughAfterItsEnd)
{
    quarantine_run run = convictedRun();
    run.now += part_quarantine::firstDuration + part_quarantine::trialSpread;
    ASSERT_FALSE(run.blocks({"bad"}));
    run.quarantine.onSend(parts {"bad"}, run.now);
    EXPECT_TRUE(run.blocks({"bad"}));
}

TEST(part_quarantine, convictsAPartThatTurnsUpAgainAfterItsFirstCrash)
{
    quarantine_run run = convictedRun();
    run.now += part_quarantine::firstDuration + part_quarantine::trialSpread;
    run.quarantine.onSend(parts {"bad"}, run.now);
    run.now += 1s;
    run.crash({{{"bad"}, true}});
    run.settle();
    const auto entry = run.quarantine.blocking(parts {"bad"}, run.now);
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->convictions, 2);
    EXPECT_GT(entry->until, run.now + part_quarantine::firstDuration);
}

TEST(part_quarantine, isEndedByAnAnswer)
{
    quarantine_run run = convictedRun();
    run.now += part_quarantine::firstDuration + part_quarantine::trialSpread;
    EXPECT_EQ(run.quarantine.recordAnswer(parts {"bad"}, run.now), parts {"bad"});
    EXPECT_FALSE(run.blocks({"bad"}));
    EXPECT_TRUE(run.quarantine.evidence(run.now).quarantined.empty());
}

// The trial of a part that crashes endpoints in mid-answer ended its quarantine before it crashed the next one.
TEST(part_quarantine, isNotEndedByTheBeginningOfAnAnswer)
{
    quarantine_run run = convictedRun();
    run.now += part_quarantine::firstDuration + part_quarantine::trialSpread;
    run.quarantine.onSend(parts {"bad"}, run.now);
    EXPECT_TRUE(run.quarantine.recordBeginning(parts {"bad"}, run.now).empty());
    EXPECT_TRUE(run.blocks({"bad"}));
    run.crash({{{"bad"}, true, true}});
    run.settle();
    EXPECT_TRUE(run.blocks({"bad"}));
    EXPECT_EQ(run.quarantine.evidence(run.now).quarantined.front().convictions, 2);
}

TEST(part_quarantine, expiresWhenNobodyAsks)
{
    quarantine_run run = convictedRun();
    run.now += 2 * part_quarantine::firstDuration;
    EXPECT_TRUE(run.quarantine.evidence(run.now).empty());
    EXPECT_FALSE(run.blocks({"bad"}));
}

TEST(part_quarantine, isBounded)
{
    std::mt19937_64 random(1);
    quarantine_run run;
    run.learn();
    for (int count = 0; count < 30000; ++count) {
        const parts prompt {std::to_string(random()), std::to_string(random())};
        run.answer({std::to_string(random())});
        run.crash({{prompt, count % 2 == 0}, {{std::to_string(random())}, false}});
        if (count % 100 == 0) {
            run.settle();
        }
    }
    const crash_evidence known = run.quarantine.evidence(run.now);
    EXPECT_LE(known.crashes.size(), part_quarantine::maxCrashes);
    EXPECT_LE(known.quarantined.size(), part_quarantine::maxQuarantined);
}

TEST(answered_parts, areBounded)
{
    answered_parts answered;
    for (std::size_t part = 0; part < 3 * answered_parts::maxParts; ++part) {
        answered.recordWhole(std::to_string(part), start, start);
    }
    EXPECT_LE(answered.size(), answered_parts::maxParts);
    EXPECT_TRUE(answered.lastAnswer(std::to_string(3 * answered_parts::maxParts - 1)));
}

/** Passes evidence as gateways do, in another process's clock. */
crash_evidence received(const crash_evidence &sent, time_point now)
{
    return decodeCrashEvidence(nlohmann::json::parse(encodeCrashEvidence(sent, now).dump()), now);
}

TEST(crash_evidence, convictsAtAGatewayThatSawNothing)
{
    quarantine_run seen = convictedRun();
    part_quarantine other(2);
    const auto added = other.merge(received(seen.quarantine.evidence(seen.now), seen.now), seen.now);
    ASSERT_EQ(added.size(), 1U);
    EXPECT_EQ(added.front().convictions, 1);
    EXPECT_TRUE(other.blocking(parts {"bad"}, seen.now));
}

TEST(crash_evidence, joinsTheCrashesOfSeveralGateways)
{
    quarantine_run first;
    quarantine_run second;
    const time_point now = start;
    first.quarantine.recordCrash({{"e1", 1}, now, {{{"system", "bad"}, true}}});
    second.quarantine.recordCrash({{"e2", 1}, now, {{{"system", "bad"}, true}}});
    // The same crash, of which the other gateway lost a request that had not begun.
    second.quarantine.recordCrash({{"e1", 1}, now, {{{"sound"}, false}}});
    first.quarantine.merge(received(second.quarantine.evidence(now), now), now);
    const auto convicted = first.quarantine.update(now + part_quarantine::settlingTime);
    ASSERT_EQ(convicted.size(), 1U);
    EXPECT_EQ(convicted.front().part, "bad");
}

// Another gateway takes what it hears as what it saw itself: answers that were lost midway, and those that came to an
// end.
TEST(crash_evidence, tellsHowFarAnswersCame)
{
    quarantine_run seen;
    seen.learn();
    for (int count = 0; count < 4; ++count) {
        seen.answer({"sound"});
        seen.now += 1s;
        seen.begin({"bad"});
        seen.quarantine.recordCrash({{"e" + std::to_string(count), 1},
                                     seen.now,
                                     {{{"sound", "bad"}, true, true}, {{"sound", "other"}, true, true}}});
    }
    crash_evidence told = received(seen.quarantine.evidence(seen.now), seen.now);
    std::ranges::sort(told.crashes, {}, &endpoint_crash::at);
    EXPECT_EQ(told, seen.quarantine.evidence(seen.now));
    quarantine_run other;
    other.now = seen.now;
    other.quarantine.merge(told, other.now);
    other.settle();
    EXPECT_TRUE(other.blocks({"bad"}));
    EXPECT_FALSE(other.blocks({"sound"}));
}

TEST(crash_evidence, releasesASuspicionThatAnotherGatewayDisproves)
{
    quarantine_run suspicious;
    suspicious.learn();
    suspicious.crash({{{"popular"}, true}});
    ASSERT_TRUE(suspicious.blocks({"popular"}));
    const time_point now = suspicious.now;
    part_quarantine other(2);
    other.recordAnswer(parts {"popular"}, now - 3s);
    EXPECT_TRUE(other.merge(received(suspicious.quarantine.evidence(now), now), now).empty());
    suspicious.quarantine.merge(received(other.evidence(now), now), now);
    EXPECT_FALSE(suspicious.blocks({"popular"}));
}

TEST(crash_evidence, doesNotReviveAQuarantineThatAnAnswerEnded)
{
    quarantine_run run = convictedRun();
    const crash_evidence old = run.quarantine.evidence(run.now);
    run.now += 1s;
    run.answer({"bad"});
    EXPECT_TRUE(run.quarantine.merge(old, run.now).empty());
    EXPECT_FALSE(run.blocks({"bad"}));
    part_quarantine other(2);
    other.merge(old, run.now);
    other.merge(received(run.quarantine.evidence(run.now), run.now), run.now);
    EXPECT_FALSE(other.blocking(parts {"bad"}, run.now));
}

TEST(crash_evidence, fitsIntoADatagram)
{
    crash_evidence known;
    const std::string id(64, 'x');
    for (int count = 0; count < 64; ++count) {
        endpoint_crash crash {{id, count}, start, {}};
        for (int suspect = 0; suspect < 32; ++suspect) {
            crash.suspects.push_back({parts(16, id + std::to_string(suspect)), true});
        }
        known.crashes.push_back(crash);
        known.answers[std::to_string(count) + id] = start;
        known.quarantined.push_back({std::to_string(count) + id, start, start + 1min, 1});
    }
    constexpr std::size_t datagramBytes = 60000;
    EXPECT_LT(nlohmann::json::to_msgpack(encodeCrashEvidence(known, start)).size(), datagramBytes);
    EXPECT_FALSE(received(known, start).crashes.empty());
}

/** A prompt of many sound parts with the one that crashes endpoints among them. */
parts longPrompt(std::size_t sound, const std::string &own)
{
    parts prompt;
    for (std::size_t number = 0; number < sound; ++number) {
        prompt.push_back("sound" + std::to_string(number));
    }
    prompt.insert(prompt.begin() + static_cast<std::ptrdiff_t>(sound / 2), {"bad", own});
    return prompt;
}

/** A gateway that has answered the sound parts of long prompts, and then lost requests with the bad part twice. */
quarantine_run longPromptsRun(std::size_t sound)
{
    quarantine_run run;
    parts answered = longPrompt(sound, "system");
    std::erase(answered, "bad");
    run.answer(answered);
    run.now += part_quarantine::learningTime;
    for (const std::string endpoint : {"e1", "e2"}) {
        std::vector<crash_suspect> suspects;
        for (int request = 0; request < 6; ++request) {
            const parts prompt = longPrompt(sound, "own" + endpoint + std::to_string(request));
            suspects.push_back({run.quarantine.likeliest(prompt, part_quarantine::maxSuspectParts), true});
        }
        run.quarantine.recordCrash({{endpoint, 1}, run.now, suspects});
    }
    return run;
}

class long_prompts : public testing::TestWithParam<std::size_t>
{
};

// Evidence that left the bad part out, because the prompts were long, convicted nobody elsewhere.
TEST_P(long_prompts, areToldWithTheirLikeliestParts)
{
    quarantine_run first = longPromptsRun(GetParam());
    quarantine_run other;
    other.learn();
    other.now = first.now;
    const crash_evidence told = received(first.quarantine.evidence(first.now), first.now);
    other.quarantine.merge(told, other.now);
    other.settle();
    EXPECT_TRUE(other.blocks({"bad"}));
    EXPECT_FALSE(other.blocks({"sound0"}));
    EXPECT_FALSE(other.blocks({"sound" + std::to_string(GetParam() - 1)}));
    const std::uint64_t version = first.quarantine.version();
    first.quarantine.merge(told, first.now);
    EXPECT_EQ(first.quarantine.version(), version) << "what comes back is no news";
}

INSTANTIATE_TEST_SUITE_P(sizes, long_prompts, testing::Values(8, 17, 60, 150, 1500));

TEST(long_prompts, areBounded)
{
    quarantine_run run;
    run.learn();
    for (int crash = 0; crash < 100; ++crash) {
        std::vector<crash_suspect> suspects;
        for (std::size_t suspect = 0; suspect < part_quarantine::maxSuspects; ++suspect) {
            const parts prompt = longPrompt(2000, std::to_string(crash) + "-" + std::to_string(suspect));
            suspects.push_back({run.quarantine.likeliest(prompt, part_quarantine::maxSuspectParts), true});
        }
        run.crash(suspects);
    }
    std::size_t kept = 0;
    for (const endpoint_crash &crash : run.quarantine.evidence(run.now).crashes) {
        for (const crash_suspect &suspect : crash.suspects) {
            EXPECT_LE(suspect.parts.size(), part_quarantine::maxSuspectParts);
            kept += suspect.parts.size();
        }
    }
    EXPECT_LE(kept, part_quarantine::maxCrashParts);
    EXPECT_GT(kept, 0U);
}

TEST(crash_evidence, isNotReadFromOtherValues)
{
    for (const char *text : {"1", "[]", "[[],[]]", "[[[1,2,3,4]],[],[]]", "[[],[[\"e\",1,\"soon\",[]]],[]]",
                             "[[],[],[[\"a\"]]]", "{\"a\":1}"}) {
        EXPECT_THROW(decodeCrashEvidence(nlohmann::json::parse(text), start), nlohmann::json::exception) << text;
    }
}

} // namespace

} // namespace bronzechute
