#include "standins/frame_filter.h"

namespace bronzechute::standins {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t bitsPerByte = 8;
/** A frame is a msgpack array of two elements, of which the first is the type in one byte (wire/frame_codec.h). */
constexpr std::size_t typePosition = lengthBytes + 1;

std::size_t frameBytes(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[index])) << (bitsPerByte * index);
    }
    return lengthBytes + length;
}

} // namespace

std::vector<frame_filter::piece> frame_filter::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::vector<piece> out;
    std::size_t position = 0;
    while (m_buffer.size() - position > typePosition) {
        const std::size_t size = frameBytes(std::string_view(m_buffer).substr(position));
        if (m_buffer.size() - position < size) {
            break;
        }
        pass(m_buffer.substr(position, size), out);
        position += size;
    }
    m_buffer.erase(0, position);
    return out;
}

void frame_filter::pass(std::string bytes, std::vector<piece> &out)
{
    const auto type = static_cast<frame_type>(bytes[typePosition]);
    const auto rule = take(type);
    if (rule && rule->action == frame_action::drop) {
        return;
    }
    if (rule && rule->action == frame_action::swap && m_held.empty()) {
        m_held = std::move(bytes);
        return;
    }
    const auto delay = rule && rule->action == frame_action::delay ? rule->delay : std::chrono::milliseconds(0);
    out.push_back({bytes, delay});
    if (rule && rule->action == frame_action::duplicate) {
        out.push_back({std::move(bytes), rule->delay});
    }
    if (!m_held.empty() && type != frame_type::heartbeat) {
        out.push_back({std::move(m_held), std::chrono::milliseconds(0)});
        m_held.clear();
    }
}

std::optional<frame_rule> frame_filter::take(frame_type type)
{
    for (frame_rule &rule : m_rules.rules) {
        if (rule.type != type || rule.times == 0) {
            continue;
        }
        if (rule.skip > 0) {
            --rule.skip;
            continue;
        }
        --rule.times;
        rule.applied = true;
        return rule;
    }
    return std::nullopt;
}

} // namespace bronzechute::standins
