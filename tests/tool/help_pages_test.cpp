#include "settings/daemon_settings.h"
#include "tool/verb.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

// Guards against a verb without a reference page, and against pages with missing or reordered sections.
TEST(help_pages, existForEachVerb)
{
    for (const verb &each : verbs()) {
        const std::string path = std::string(BRONZECHUTE_SOURCE_DIR "/help/") + each.name + ".md";
        const auto page = readTextFile(path);
        ASSERT_TRUE(page) << page.error().toString();
        std::size_t position = 0;
        for (const char *heading :
             {"## Synopsis", "## Description", "## Options", "## Examples", "## Exit codes", "## See also"}) {
            const std::size_t found = page.value().find(heading, position);
            ASSERT_NE(found, std::string::npos) << path << ": " << heading;
            position = found;
        }
    }
}

} // namespace
} // namespace bronzechute
