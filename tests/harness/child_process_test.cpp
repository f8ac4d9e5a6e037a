#include "standins/child_process.h"
#include "standins/http_fetch.h"

#include <csignal>
#include <gtest/gtest.h>

namespace bronzechute::standins {
namespace {

const std::string enginePath = BRONZECHUTE_BIN_DIR "/tests/model_engine";

// Guards against tests that use a program before it listens or after it has ended.
TEST(child_process, readyProgramAnswersUntilKilled)
{
    auto engine = child_process::startReady(enginePath, {"--step_ms", "5"});
    ASSERT_TRUE(engine) << engine.error().toString();
    const std::string url = engine.value()->url() + "/health";
    EXPECT_EQ(fetch(url).status, 200);
    engine.value()->kill();
    EXPECT_EQ(fetch(url).code, CURLE_COULDNT_CONNECT);
    EXPECT_EQ(engine.value()->waitForExit(), 128 + SIGKILL);
}

// Guards against a freeze that leaves a part of the program running.
TEST(child_process, frozenProgramIsSilentUntilThawed)
{
    auto engine = child_process::startReady(enginePath, {});
    ASSERT_TRUE(engine) << engine.error().toString();
    engine.value()->freeze();
    fetch_request request;
    request.url = engine.value()->url() + "/health";
    request.timeout = std::chrono::milliseconds(300);
    EXPECT_EQ(fetch(request).code, CURLE_OPERATION_TIMEDOUT);
    engine.value()->thaw();
    EXPECT_EQ(fetch(request.url).status, 200);
}

struct exit_row
{
    const char *name; ///< The failure that the row guards against.
    std::vector<std::string> arguments;
    int signal; ///< 0: none.
    const char *faults; ///< Body for /standin/faults; null: none.
    int status;
};

class child_process_exit : public testing::TestWithParam<exit_row>
{
};

TEST_P(child_process_exit, isReported)
{
    auto engine = child_process::startReady(enginePath, GetParam().arguments);
    ASSERT_TRUE(engine) << engine.error().toString();
    if (GetParam().faults != nullptr) {
        EXPECT_EQ(postJson(engine.value()->url() + "/standin/faults", GetParam().faults).status, 0);
    } else {
        engine.value()->signal(GetParam().signal);
    }
    EXPECT_EQ(engine.value()->waitForExit(), GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(rows, child_process_exit,
                         testing::Values(exit_row {"clean_end_seen_as_crash", {}, SIGTERM, nullptr, 0},
                                         exit_row {"crash_seen_as_clean_end", {}, 0, R"({"crash": true})", 70},
                                         exit_row {"abort_seen_as_clean_end", {}, SIGABRT, nullptr, 128 + SIGABRT}),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against waiting the whole patience for a program that cannot become ready.
TEST(child_process, reportsAProgramThatEndsBeforeItIsReady)
{
    auto engine = child_process::startReady(enginePath, {"--no_such_flag"});
    ASSERT_FALSE(engine);
    EXPECT_EQ(engine.error().code, errc::timed_out);
    auto missing = child_process::start("/nonexistent/program", {});
    ASSERT_FALSE(missing);
    EXPECT_EQ(missing.error().code, errc::not_found);
}

} // namespace
} // namespace bronzechute::standins
