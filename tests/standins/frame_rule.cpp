#include "standins/frame_rule.h"

#include <map>
#include <stdexcept>

namespace bronzechute::standins {

namespace {

template<typename Value>
Value named(const std::map<std::string, Value> &values, const std::string &name)
{
    const auto position = values.find(name);
    if (position == values.end()) {
        throw std::invalid_argument("unknown name in a frame rule: " + name);
    }
    return position->second;
}

} // namespace

frame_type frameTypeNamed(const std::string &name)
{
    static const std::map<std::string, frame_type> types {{"hello", frame_type::hello},
                                                          {"heartbeat", frame_type::heartbeat},
                                                          {"config_push", frame_type::config_push},
                                                          {"submit", frame_type::submit},
                                                          {"accepted", frame_type::accepted},
                                                          {"refused", frame_type::refused},
                                                          {"response_head", frame_type::response_head},
                                                          {"data", frame_type::data},
                                                          {"end", frame_type::end},
                                                          {"failed", frame_type::failed},
                                                          {"credit", frame_type::credit},
                                                          {"cancel", frame_type::cancel},
                                                          {"cancelled", frame_type::cancelled},
                                                          {"resume", frame_type::resume},
                                                          {"session", frame_type::session}};
    return named(types, name);
}

frame_action frameActionNamed(const std::string &name)
{
    static const std::map<std::string, frame_action> actions {{"drop", frame_action::drop},
                                                              {"duplicate", frame_action::duplicate},
                                                              {"swap", frame_action::swap},
                                                              {"delay", frame_action::delay}};
    return named(actions, name);
}

} // namespace bronzechute::standins
