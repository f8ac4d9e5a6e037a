#include "endpoint/endpoint_role.h"
#include "entry/entry_role.h"
#include "gateway/gateway_role.h"
#include "node/node_role.h"
#include "observe/log.h"
#include "platform_gateway.h"
#include "settings/daemon_settings.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <random>

DEFINE_string(settings, "", "file with the settings of this process, in YAML");

namespace {

using namespace bronzechute;

/** Exit codes, documented in help/bronzechuted.md. */
constexpr int exitDone = 0;
constexpr int exitUnfinished = 1;
constexpr int exitInvalidSettings = 2;
constexpr int exitUnavailable = 4;

std::optional<daemon_settings> loadSettings(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!text) {
        std::fprintf(stderr, "bronzechuted: %s\n", text.error().toString().c_str());
        return std::nullopt;
    }
    const parsed_settings parsed = parseSettings(text.value());
    for (const configuration_problem &problem : parsed.problems) {
        std::fprintf(stderr, "bronzechuted: %s\n", problem.toString(path).c_str());
    }
    return parsed.settings;
}

hello_frame describeSelf(const daemon_settings &settings)
{
    std::random_device entropy;
    hello_frame self;
    self.node = settings.node;
    self.incarnation = (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
    self.role = roleName(settings.role);
    self.dataCentre = settings.dataCentre;
    return self;
}

result<std::unique_ptr<node_role>> startRole(const daemon_settings &settings)
{
    if (settings.role == daemon_role::gateway) {
        auto role = gateway_role::start(settings, platform::gatewayOptions(settings));
        if (!role) {
            return role.error();
        }
        return std::unique_ptr<node_role>(std::move(role.value()));
    }
    const hello_frame self = describeSelf(settings);
    if (settings.role == daemon_role::entry) {
        auto role = entry_role::start(settings, self);
        if (!role) {
            return role.error();
        }
        return std::unique_ptr<node_role>(std::move(role.value()));
    }
    auto role = endpoint_role::start(settings, self);
    if (!role) {
        return role.error();
    }
    return std::unique_ptr<node_role>(std::move(role.value()));
}

/** Re-reads the settings on each SIGHUP. @returns the signal that ends the process. */
int waitForStop(const sigset_t &signals, node_role &role)
{
    for (;;) {
        int received = 0;
        sigwait(&signals, &received);
        if (received != SIGHUP) {
            return received;
        }
        const auto settings = loadSettings(FLAGS_settings);
        logLine(settings ? log_level::info : log_level::error, "daemon",
                settings ? "settings read again" : "changed settings refused; the earlier ones stay", {});
        if (settings) {
            role.reload(*settings);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("bronzechuted --settings FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = loadSettings(FLAGS_settings);
    if (!settings) {
        return exitInvalidSettings;
    }
    configureLogging(settings->logLevel, settings->logFile, settings->node);

    // Blocked before any thread starts, so that only sigwait() below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    auto role = startRole(*settings);
    if (!role) {
        std::fprintf(stderr, "bronzechuted: %s\n", role.error().toString().c_str());
        return exitUnavailable;
    }
    std::printf("ready %s\n", role.value()->addresses().c_str());
    std::fflush(stdout);
    logLine(log_level::info, "daemon", "started", {{"addresses", role.value()->addresses()}});

    const int received = waitForStop(signals, *role.value());
    logLine(log_level::info, "daemon", "stopping", {{"signal", received}});
    const bool finished = role.value()->drain();
    logLine(log_level::info, "daemon", finished ? "stopped" : "stopped with work in flight");
    return finished ? exitDone : exitUnfinished;
}
