#include "tool/tool_flags.h"

#include <gflags/gflags.h>

DEFINE_string(server, "http://127.0.0.1:8081", "URL of an entry's administration API");
DEFINE_string(key_file, "", "file that holds the administration key");
DEFINE_string(output, "table", "table or json");
DEFINE_bool(dry_run, false, "check a change without making it");
DEFINE_bool(settings, false, "check: the file holds settings of a daemon");
DEFINE_int64(base_revision, -1, "apply: the revision that the file was made from");
DEFINE_int64(limit, 20, "history: number of changes");
DEFINE_int32(timeout, 10, "seconds to wait for an answer");

namespace bronzechute {

namespace {

error invalidFlag(const std::string &detail)
{
    return {errc::invalid_argument, "tool.flags", "", detail};
}

/**
 * Looks up a flag of this program. Flags that gflags itself defines are not found.
 * @param info set to the description of the flag
 */
bool findToolFlag(const std::string &name, gflags::CommandLineFlagInfo &info)
{
    for (const char *known :
         {"server", "key_file", "output", "dry_run", "settings", "base_revision", "limit", "timeout"}) {
        if (name == known) {
            return gflags::GetCommandLineFlagInfo(known, &info);
        }
    }
    return false;
}

/**
 * Sets one flag. The parser of gflags is not used because it exits with code 1 on an error, which is
 * exit_code::failed here.
 * @param next index of the flag; set to the index after the flag and its value
 */
result<void> setFlag(const std::vector<std::string> &arguments, std::size_t &next)
{
    const std::string text = arguments[next++].substr(2);
    const auto equals = text.find('=');
    std::string name = text.substr(0, equals);
    std::string value = equals == std::string::npos ? "" : text.substr(equals + 1);
    gflags::CommandLineFlagInfo info;
    if (!findToolFlag(name, info)) {
        if (!name.starts_with("no") || !findToolFlag(name.substr(2), info) || info.type != "bool") {
            return invalidFlag("unknown flag --" + name);
        }
        name = name.substr(2);
        value = "false";
    } else if (equals == std::string::npos && info.type == "bool") {
        value = "true";
    } else if (equals == std::string::npos) {
        if (next == arguments.size()) {
            return invalidFlag("flag --" + name + " has no value");
        }
        value = arguments[next++];
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
        return invalidFlag("flag --" + name + ": found \"" + value + "\", expected a value of type " + info.type);
    }
    return success();
}

} // namespace

result<tool_command> parseCommand(const std::vector<std::string> &arguments)
{
    tool_command command;
    for (std::size_t next = 0; next < arguments.size();) {
        const std::string &argument = arguments[next];
        if (argument == "--") {
            command.words.insert(command.words.end(), arguments.begin() + static_cast<std::ptrdiff_t>(next) + 1,
                                 arguments.end());
            break;
        }
        if (argument == "--help" || argument == "-h") {
            command.help = true;
            ++next;
        } else if (argument.starts_with("--")) {
            if (auto set = setFlag(arguments, next); !set) {
                return set.error();
            }
        } else {
            command.words.push_back(argument);
            ++next;
        }
    }
    if (FLAGS_output != "table" && FLAGS_output != "json") {
        return invalidFlag("flag --output: found \"" + FLAGS_output + "\", expected table or json");
    }
    if (FLAGS_limit < 1 || FLAGS_timeout < 1) {
        return invalidFlag("flags --limit and --timeout: expected integers from 1");
    }
    command.options.server = FLAGS_server.substr(0, FLAGS_server.find_last_not_of('/') + 1);
    command.options.keyFile = FLAGS_key_file;
    command.options.json = FLAGS_output == "json";
    command.options.dryRun = FLAGS_dry_run;
    command.options.settings = FLAGS_settings;
    if (FLAGS_base_revision >= 0) {
        command.options.baseRevision = FLAGS_base_revision;
    }
    command.options.limit = FLAGS_limit;
    command.options.timeout = std::chrono::seconds(FLAGS_timeout);
    return command;
}

} // namespace bronzechute
