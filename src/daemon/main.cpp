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

/** Reads the settings at the start; problems go to standard error. */
std::optional<daemon_settings> loadSettings(const std::string &path, std::string &text)
{
    const auto read = readTextFile(path);
    if (!read) {
        std::fprintf(stderr, "bronzechuted: %s\n", read.error().toString().c_str());
        return std::nullopt;
    }
    text = read.value();
    const parsed_settings parsed = parseSettings(text);
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

/** The settings file changes without a signal too; it is compared this often. */
constexpr timespec settingsCheck {2, 0};

/** Reads changed settings. */
void reload(const std::string &cause, std::string &inForce, node_role &role)
{
    const auto text = readTextFile(FLAGS_settings);
    if (!text) {
        logLine(log_level::error, "daemon", "settings cannot be read; the earlier ones stay",
                {{"cause", text.error().toString()}});
        return;
    }
    if (text.value() == inForce) {
        return;
    }
    inForce = text.value();
    const parsed_settings parsed = parseSettings(inForce);
    for (const configuration_problem &problem : parsed.problems) {
        logLine(log_level::error, "daemon", "problem in the changed settings",
                {{"problem", problem.toString(FLAGS_settings)}});
    }
    logLine(parsed.settings ? log_level::info : log_level::error, "daemon",
            parsed.settings ? "settings read again" : "changed settings refused; the earlier ones stay",
            {{"cause", cause}});
    if (parsed.settings) {
        setLogLevel(parsed.settings->logLevel);
        role.reload(*parsed.settings);
    }
}

/**
 * Follows changes of the settings file.
 * @param inForce its text at the start
 * @returns the signal that ends the process
 */
int waitForStop(const sigset_t &signals, std::string inForce, node_role &role)
{
    for (;;) {
        const int received = sigtimedwait(&signals, nullptr, &settingsCheck);
        if (received == SIGHUP) {
            reload("signal", inForce, role);
        } else if (received > 0) {
            return received;
        } else {
            reload("file changed", inForce, role);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("bronzechuted --settings FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::string text;
    const auto settings = loadSettings(FLAGS_settings, text);
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

    const int received = waitForStop(signals, std::move(text), *role.value());
    logLine(log_level::info, "daemon", "stopping", {{"signal", received}});
    const bool finished = role.value()->drain();
    logLine(log_level::info, "daemon", finished ? "stopped" : "stopped with work in flight");
    return finished ? exitDone : exitUnfinished;
}
