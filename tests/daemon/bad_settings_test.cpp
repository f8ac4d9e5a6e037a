#include "settings/daemon_settings.h"
#include "standins/http_fetch.h"
#include "standins/local_system.h"
#include "standins/reserved_port.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace bronzechute::standins {
namespace {

constexpr int exitInvalidSettings = 2;
constexpr int exitUnavailable = 4;

const std::string entrySettings = R"(role: entry
node: e
data_centre: buda
)";
const std::string listenLine = R"(listen: {http: "127.0.0.1:0", peers: "127.0.0.1:0"}
)";
// Suppresses warnings: an entry may log that its store is unreachable before it exits because of the tested error.
const std::string errorsOnly = "log: {level: error}\n";
const std::string storeLine = R"(store: {endpoints: ["http://127.0.0.1:1"]}
)";

/** A settings file in its own temporary directory. */
class settings_file
{
public:
    explicit settings_file(const std::string &text)
    {
        std::string pattern = testing::TempDir() + "bad_settings_XXXXXX";
        m_directory = mkdtemp(pattern.data());
        std::ofstream(path()) << text;
    }

    ~settings_file()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_directory, ignored);
    }

    settings_file(const settings_file &) = delete;
    settings_file &operator=(const settings_file &) = delete;

    std::string path() const
    {
        return (m_directory / "settings.yaml").string();
    }

private:
    std::filesystem::path m_directory;
};

/** @returns the text with each FILE replaced by the path of the settings file. */
std::string withPath(std::string text, const std::string &path)
{
    for (auto position = text.find("FILE"); position != std::string::npos;
         position = text.find("FILE", position + path.size())) {
        text.replace(position, 4, path);
    }
    return text;
}

struct bad_settings_row
{
    const char *name; ///< Failure that the row guards against.
    std::vector<std::string> arguments; ///< FILE stands for the path of the settings file.
    std::string text; ///< Content of the settings file.
    int status; ///< Expected exit code.
    std::string output; ///< Expected complete output of the daemon, with FILE as in the arguments.
};

class bad_settings : public testing::TestWithParam<bad_settings_row>
{
};

TEST_P(bad_settings, areRefusedWithMessageAndExitCode)
{
    const settings_file file(GetParam().text);
    // The shell redirects standard error, where the messages are written, to standard output.
    std::vector<std::string> arguments {"-c", "exec \"$@\" 2>&1", "sh", programPath("bronzechuted")};
    for (const std::string &each : GetParam().arguments) {
        arguments.push_back(withPath(each, file.path()));
    }
    auto daemon = child_process::start("/bin/sh", arguments);
    ASSERT_TRUE(daemon) << daemon.error().toString();
    EXPECT_EQ(daemon.value()->waitForExit(), GetParam().status);
    daemon.value()->waitForLine("no such line"); // Returns at the end of the output.
    EXPECT_EQ(daemon.value()->output(), withPath(GetParam().output, file.path()));
}

const std::vector<std::string> fromFile {"--settings", "FILE"};

INSTANTIATE_TEST_SUITE_P(
    rows, bad_settings,
    testing::Values(
        bad_settings_row {
            "unknown_setting_ignored", fromFile, entrySettings + listenLine + storeLine + "drain_timeout: 5\n",
            exitInvalidSettings,
            "bronzechuted: FILE:6: drain_timeout: found an unknown key, expected data_centre, drain_timeout_ms, "
            "endpoint, entry, gateway, limits, listen, log, node, region, role or store\n"},
        bad_settings_row {"wrong_type_replaced_by_default", fromFile,
                          entrySettings + listenLine + storeLine + "drain_timeout_ms: soon\n", exitInvalidSettings,
                          "bronzechuted: FILE:6: drain_timeout_ms: found \"soon\", expected an integer from 0 to "
                          "3600000\n"},
        bad_settings_row {"setting_of_the_other_role_ignored", fromFile,
                          entrySettings + listenLine + storeLine + "endpoint: {max_concurrency: 4}\n",
                          exitInvalidSettings,
                          "bronzechuted: FILE:6: endpoint: found the key, expected no such key, because the role is "
                          "entry\n"},
        bad_settings_row {
            "second_error_not_reported", fromFile,
            entrySettings + "listen: {http: nowhere, peers: \"127.0.0.1:0\"}\n" + storeLine + "log: {level: 7}\n",
            exitInvalidSettings,
            "bronzechuted: FILE:4: listen.http: found \"nowhere\", expected an IPv4 address and port such "
            "as 127.0.0.1:8080\n"
            "bronzechuted: FILE:6: log.level: found \"7\", expected info, trace, debug, warn or error\n"},
        bad_settings_row {"missing_file_starts_with_defaults",
                          {"--settings", "FILE.absent"},
                          "",
                          exitInvalidSettings,
                          "bronzechuted: file.read: not found (FILE.absent): No such file or directory\n"},
        bad_settings_row {"missing_flag_starts_with_defaults",
                          {},
                          "",
                          exitInvalidSettings,
                          "bronzechuted: file.read: not found: No such file or directory\n"},
        // 192.0.2.1 is reserved for documentation (RFC 5737), so no local interface has this address.
        bad_settings_row {
            "unreachable_http_address_serves_nothing", fromFile,
            entrySettings + "listen: {http: \"192.0.2.1:0\", peers: \"127.0.0.1:0\"}\n" + storeLine + errorsOnly,
            exitUnavailable,
            "bronzechuted: http.listen: peer unavailable (192.0.2.1:0): Cannot assign requested address\n"},
        bad_settings_row {
            "unreachable_admin_address_serves_nothing", fromFile,
            entrySettings + "listen: {http: \"127.0.0.1:0\", admin: \"192.0.2.1:0\", peers: \"127.0.0.1:0\"}\n"
                + storeLine + errorsOnly,
            exitUnavailable,
            "bronzechuted: http.listen: peer unavailable (192.0.2.1:0): Cannot assign requested address\n"},
        bad_settings_row {
            "unreachable_peers_address_serves_nothing", fromFile,
            entrySettings + "listen: {http: \"127.0.0.1:0\", peers: \"192.0.2.1:0\"}\n" + storeLine + errorsOnly,
            exitUnavailable, "bronzechuted: link.listen: peer unavailable (192.0.2.1:0): Address invalid\n"}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against an entry that exits, hangs, reports that it is ready or logs nothing when the store is unreachable at
// startup.
TEST(unreachable_store, isNoErrorForAnEntry)
{
    const reserved_port unreachable;
    const std::string store = "http://" + unreachable.address();
    const settings_file file(entrySettings + listenLine + "store: {endpoints: [\"" + store
                             + "\"]}\nlog: {level: warn}\n");
    // The shell redirects standard error to standard output, so that both are captured.
    auto daemon = child_process::startReady(
        "/bin/sh", {"-c", "exec \"$@\" 2>&1", "sh", programPath("bronzechuted"), "--settings", file.path()});
    ASSERT_TRUE(daemon) << daemon.error().toString();
    const std::string url = daemon.value()->url();
    EXPECT_EQ(fetch(url + "/health").status, 200);
    const fetch_answer ready = fetch(url + "/ready");
    EXPECT_EQ(ready.status, 503);
    EXPECT_EQ(nlohmann::json::parse(ready.body, nullptr, false).value("revision", -1), 0) << ready.body;
    EXPECT_EQ(postJson(url + "/v1/chat/completions", "{}", {{"Authorization", "Bearer any"}}).status, 401);
    const auto logged = [&](const std::string &text) {
        return daemon.value()->output().find(text) != std::string::npos;
    };
    EXPECT_TRUE(eventuallyTrue([&] { return logged("store unreachable; keeping the active configuration"); }));
    EXPECT_TRUE(logged("\"peer\":\"" + store)) << daemon.value()->output();
    const std::string metrics = fetch(url + "/metrics").body;
    EXPECT_NE(metrics.find("\nbronzechute_store_contact_age_seconds "), std::string::npos) << metrics;
    daemon.value()->signal(SIGTERM);
    EXPECT_EQ(daemon.value()->waitForExit(), 0);
}

} // namespace
} // namespace bronzechute::standins
