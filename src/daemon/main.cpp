#include "base/process_memory.h"
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

// Exit codes, documented in help/bronzechuted.md.
constexpr int exitSuccess = 0;
constexpr int exitDrainIncomplete = 1;
constexpr int exitInvalidSettings = 2;
constexpr int exitUnavailable = 4;

/**
 * Reads the settings file at startup and prints problems to standard error.
 * @param text set to the content of the file
 * @returns nothing when the file cannot be read or is invalid
 */
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

/** @returns the frame that identifies this process to its peers, with a random incarnation number. */
hello_frame makeHello(const daemon_settings &settings)
{
    std::random_device entropy;
    hello_frame hello;
    hello.node = settings.node;
    hello.incarnation = (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
    hello.role = roleName(settings.role);
    hello.dataCentre = settings.dataCentre;
    return hello;
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
    const hello_frame hello = makeHello(settings);
    if (settings.role == daemon_role::entry) {
        auto role = entry_role::start(settings, hello);
        if (!role) {
            return role.error();
        }
        return std::unique_ptr<node_role>(std::move(role.value()));
    }
    auto role = endpoint_role::start(settings, hello);
    if (!role) {
        return role.error();
    }
    return std::unique_ptr<node_role>(std::move(role.value()));
}

/** Interval at which the settings file is checked for changes, because it may change without a SIGHUP. */
constexpr timespec settingsPollInterval {2, 0};

/**
 * Reads the settings file and applies it when its text has changed. Invalid settings are logged and not applied.
 * @param cause why the file is read, for the log
 * @param lastText text that was read last; updated
 */
void reloadIfChanged(const std::string &cause, std::string &lastText, node_role &role)
{
    const auto text = readTextFile(FLAGS_settings);
    if (!text) {
        logLine(log_level::error, "daemon", "settings cannot be read; the earlier ones stay",
                {{"cause", text.error().toString()}});
        return;
    }
    if (text.value() == lastText) {
        return;
    }
    lastText = text.value();
    const parsed_settings parsed = parseSettings(lastText);
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
 * Waits for a signal that stops the process, and reloads the settings file on SIGHUP and when it changes.
 * @param lastText text of the settings file at startup
 * @returns the signal that stops the process
 */
int waitForStopSignal(const sigset_t &signals, std::string lastText, node_role &role)
{
    for (;;) {
        const int received = sigtimedwait(&signals, nullptr, &settingsPollInterval);
        if (received == SIGHUP) {
            reloadIfChanged("signal", lastText, role);
        } else if (received > 0) {
            return received;
        } else {
            reloadIfChanged("file changed", lastText, role);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    // First, as a SIGHUP that is not blocked ends the process. Threads inherit the mask; only sigtimedwait() in
    // waitForStopSignal() receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    gflags::SetUsageMessage("bronzechuted --settings FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::string text;
    const auto settings = loadSettings(FLAGS_settings, text);
    if (!settings) {
        return exitInvalidSettings;
    }
    keepFreedMemorySmall();
    configureLogging(settings->logLevel, settings->logFile, settings->node);

    auto role = startRole(*settings);
    if (!role) {
        std::fprintf(stderr, "bronzechuted: %s\n", role.error().toString().c_str());
        return exitUnavailable;
    }
    std::printf("ready %s\n", role.value()->addresses().c_str());
    std::fflush(stdout);
    logLine(log_level::info, "daemon", "started", {{"addresses", role.value()->addresses()}});

    const int received = waitForStopSignal(signals, std::move(text), *role.value());
    logLine(log_level::info, "daemon", "stopping", {{"signal", received}});
    const bool drained = role.value()->drain();
    logLine(log_level::info, "daemon", drained ? "stopped" : "stopped with work in flight");
    return drained ? exitSuccess : exitDrainIncomplete;
}
