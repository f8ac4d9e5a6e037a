#include "tool/run_tool.h"
#include "tool/tool_flags.h"

#include <iostream>

int main(int argc, char **argv)
{
    using namespace bronzechute;

    const auto command = parseCommand({argv + 1, argv + argc});
    if (!command) {
        std::cerr << "bronzechute: " << command.error().detail << "\n";
        return static_cast<int>(exit_code::invalid_input);
    }
    if (command.value().help) {
        std::cout << usageText();
        return static_cast<int>(exit_code::done);
    }
    return static_cast<int>(runTool(command.value().options, command.value().words, std::cin, std::cout, std::cerr));
}
