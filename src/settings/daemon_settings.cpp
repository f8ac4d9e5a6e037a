#include "settings/daemon_settings.h"

#include "settings/settings_reader.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace bronzechute {

namespace {

constexpr const char *readStep = "file.read";

} // namespace

parsed_settings parseSettings(const std::string &yaml)
{
    parsed_settings parsed;
    daemon_settings settings = settings_reader(parsed.problems).read(yaml);
    const bool accepted =
        std::none_of(parsed.problems.begin(), parsed.problems.end(),
                     [](const configuration_problem &problem) { return problem.level == severity::error; });
    if (accepted) {
        parsed.settings = std::move(settings);
    }
    std::stable_sort(parsed.problems.begin(), parsed.problems.end(),
                     [](const auto &left, const auto &right) { return left.line < right.line; });
    return parsed;
}

result<std::string> readTextFile(const std::string &path)
{
    // Opening a directory as a file succeeds, but reading it fails without an error code.
    std::error_code ignored;
    if (std::filesystem::is_directory(path, ignored)) {
        return error {errc::not_found, readStep, path, std::strerror(EISDIR)};
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return error {errc::not_found, readStep, path, std::strerror(errno)};
    }
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

} // namespace bronzechute
