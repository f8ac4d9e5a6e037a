#include "tool/run_tool.h"

#include "config/text_check.h"
#include "settings/daemon_settings.h"
#include "tool/verb.h"

#include <algorithm>

namespace bronzechute {

std::string usageText()
{
    std::string text = "usage: bronzechute [FLAG…] VERB [ARGUMENT…]\n";
    for (const verb &each : verbs()) {
        text.append("  ").append(each.name);
        if (*each.arguments != '\0') {
            text.append(" ").append(each.arguments);
        }
        text.append(": ").append(each.summary).append("\n");
    }
    return text
        + "flags: --server URL, --key_file FILE, --output table|json, --dry_run, --base_revision N (apply), "
          "--limit N (history), --settings (check), --timeout SECONDS\n";
}

exit_code runTool(const tool_options &options, const std::vector<std::string> &words, std::istream &in,
                  std::ostream &out, std::ostream &err)
{
    if (words.empty()) {
        err << usageText();
        return exit_code::invalid_input;
    }
    const std::string &name = words.front();
    const auto found =
        std::find_if(verbs().begin(), verbs().end(), [&](const verb &each) { return each.name == name; });
    if (found == verbs().end()) {
        err << "bronzechute: unknown verb \"" << name << "\"\n" << usageText();
        return exit_code::invalid_input;
    }
    const std::size_t count = words.size() - 1;
    if (count < found->minArguments || count > found->maxArguments) {
        err << "usage: bronzechute [FLAG…] " << name << (*found->arguments == '\0' ? "" : " ") << found->arguments
            << "\n";
        return exit_code::invalid_input;
    }
    std::string key;
    if (!options.keyFile.empty()) {
        const auto text = readTextFile(options.keyFile);
        if (!text) {
            err << "bronzechute: --key_file: " << options.keyFile << ": " << text.error().detail << "\n";
            return exit_code::invalid_input;
        }
        key = trimmed(text.value());
    }
    verb_context context(options, {words.begin() + 1, words.end()}, key, in, out, err);
    return found->run(context);
}

} // namespace bronzechute
