#include "standins/fault_board.h"

#include <cstdlib>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>

namespace bronzechute::standins {

std::string fault_board::apply(const std::string &json)
{
    constexpr int crashStatus = 70;
    const auto object = nlohmann::json::parse(json, nullptr, false);
    if (!object.is_object()) {
        return "the body is not a JSON object";
    }
    std::optional<int> coldRequests;
    try {
        if (object.value("crash", false)) {
            std::_Exit(crashStatus);
        }
        if (object.contains("turn_cold")) {
            coldRequests = object.at("turn_cold").get<int>();
        }
        const std::scoped_lock lock(m_mutex);
        m_settings.stall = object.value("stall", m_settings.stall);
        m_settings.neverAnswer = object.value("never_answer", m_settings.neverAnswer);
        m_settings.slowFactor = object.value("slow_factor", m_settings.slowFactor);
        m_settings.cutAfterTokens = object.value("cut_after_tokens", m_settings.cutAfterTokens);
        m_changed.notify_all();
    } catch (const nlohmann::json::exception &problem) {
        return problem.what();
    }
    if (coldRequests) {
        m_turnCold(*coldRequests);
    }
    return {};
}

fault_settings fault_board::current()
{
    const std::scoped_lock lock(m_mutex);
    return m_settings;
}

bool fault_board::waitWhile(bool fault_settings::*fault)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_stopped || !(m_settings.*fault); });
    return !m_stopped;
}

void fault_board::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_stopped = true;
    m_changed.notify_all();
}

} // namespace bronzechute::standins
