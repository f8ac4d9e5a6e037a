#include "standins/store_server.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <limits>

DEFINE_int32(port, 0, "TCP port on the loopback address; 0: the kernel chooses");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("store [--port N]: stand-in of the platform's store");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_port < 0 || FLAGS_port > std::numeric_limits<std::uint16_t>::max()) {
        std::fprintf(stderr, "store: --port: found %d, expected 0..65535\n", FLAGS_port);
        return 2;
    }
    // Blocked before the server starts its threads, so that only sigwait() below sees the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto server = bronzechute::standins::store_server::start(static_cast<std::uint16_t>(FLAGS_port));
    if (!server) {
        std::fprintf(stderr, "store: %s\n", server.error().toString().c_str());
        return 1;
    }
    std::printf("ready http=127.0.0.1:%u\n", static_cast<unsigned>(server.value()->port()));
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
