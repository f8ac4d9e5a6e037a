#include "standins/run_standin.h"

#include <csignal>
#include <cstdio>
#include <pthread.h>

namespace bronzechute::standins {

namespace {

sigset_t endSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockEndSignals()
{
    const sigset_t signals = endSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler): no handler is installed.
}

void runUntilEnded(const std::string &addresses)
{
    std::printf("ready %s\n", addresses.c_str());
    std::fflush(stdout);
    const sigset_t signals = endSignals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace bronzechute::standins
