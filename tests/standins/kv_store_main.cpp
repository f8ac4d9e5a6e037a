#include "standins/kv_server.h"
#include "standins/run_standin.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_int32(port, 0, "TCP port on the loopback address; 0: the kernel chooses");

int main(int argc, char **argv)
{
    using namespace bronzechute::standins;
    gflags::SetUsageMessage("kv_store [--port N]: stand-in of the users' key-value store");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockEndSignals();
    const auto server = kv_server::start(static_cast<std::uint16_t>(FLAGS_port));
    if (!server) {
        std::fprintf(stderr, "kv_store: %s\n", server.error().toString().c_str());
        return 1;
    }
    runUntilEnded("http=127.0.0.1:" + std::to_string(server.value()->port()));
    return 0;
}
