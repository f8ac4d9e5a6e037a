#include "frame_rules.h"

namespace bronzechute::standins {

void injectFrames(local_system &system, const std::string &forwarder, const std::string &rules)
{
    if (!rules.empty()) {
        system.inject(forwarder, {{"frames", nlohmann::json::parse(rules)}});
    }
}

bool framesChanged(local_system &system, const std::string &forwarder, const std::string &rules)
{
    return rules.empty() || nlohmann::json::parse(system.stats(forwarder)).value("unused_frame_rules", -1) == 0;
}

} // namespace bronzechute::standins
