#include "observe/log.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <thread>
#include <unistd.h>

namespace bronzechute {

namespace {

// Guards against logLine() blocking the process when standard output is a full pipe that is not being read.
TEST(blocked_log, doesNotStopItsWriter)
{
    int pipeEnds[2] = {-1, -1};
    ASSERT_EQ(pipe(pipeEnds), 0);
    std::fflush(stdout);
    const int original = dup(STDOUT_FILENO);
    ASSERT_GE(dup2(pipeEnds[1], STDOUT_FILENO), 0);
    close(pipeEnds[1]);
    configureLogging("info", "", "test");
    constexpr int lineCount = 20000; // Many times the combined capacity of the pipe and the queue.
    const auto begin = std::chrono::steady_clock::now();
    for (int line = 0; line < lineCount; ++line) {
        logLine(log_level::info, "test", "a line that nobody reads", {{"number", line}});
    }
    const auto duration = std::chrono::steady_clock::now() - begin;
    std::size_t received = 0;
    std::thread reader([&] {
        char block[65536];
        ssize_t count = 0;
        while ((count = read(pipeEnds[0], block, sizeof block)) > 0) {
            received += static_cast<std::size_t>(count);
        }
    });
    configureLogging("error", "/dev/null", "test"); // Stops the writer thread, which flushes its queue.
    std::fflush(stdout);
    dup2(original, STDOUT_FILENO);
    close(original);
    reader.join();
    close(pipeEnds[0]);
    EXPECT_LT(duration, std::chrono::seconds(20));
    EXPECT_GT(received, 0U);
}

} // namespace

} // namespace bronzechute
