#include "standins/forwarder.h"
#include "standins/run_standin.h"

#include <cstdio>
#include <gflags/gflags.h>

DEFINE_int32(port, 0, "TCP port on the loopback address for connections; 0: the kernel chooses");
DEFINE_int32(control_port, 0, "TCP port on the loopback address for HTTP; 0: the kernel chooses");
DEFINE_int32(target_port, 0, "TCP port on the loopback address to forward to");
DEFINE_bool(frames, false, "the connections carry frames of bronzechuted, whose faults can be set");

int main(int argc, char **argv)
{
    using namespace bronzechute::standins;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockEndSignals();
    forwarder_options options;
    options.port = static_cast<std::uint16_t>(FLAGS_port);
    options.controlPort = static_cast<std::uint16_t>(FLAGS_control_port);
    options.targetPort = static_cast<std::uint16_t>(FLAGS_target_port);
    options.frames = FLAGS_frames;
    auto started = forwarder::start(options);
    if (!started) {
        std::fprintf(stderr, "forwarder: %s\n", started.error().toString().c_str());
        return 1;
    }
    runUntilEnded("tcp=127.0.0.1:" + std::to_string(started.value()->port())
                  + " http=127.0.0.1:" + std::to_string(started.value()->controlPort()));
    return 0;
}
