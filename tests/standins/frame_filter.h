#pragma once

#include "standins/frame_rule.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute::standins {

/** Frames of one direction of a connection, changed by the forwarder's rules. */
class frame_filter
{
public:
    /** Bytes to forward, and how long to hold them beyond the forwarder's delay. */
    struct piece
    {
        std::string bytes;
        std::chrono::milliseconds delay {0};
    };

    /** @param rules must outlive this object; guarded by the caller */
    explicit frame_filter(frame_rules &rules) : m_rules(rules)
    {
    }

    /** @returns what is to be forwarded after these bytes; incomplete frames wait for their rest. */
    std::vector<piece> feed(std::string_view bytes);

private:
    void pass(std::string bytes, std::vector<piece> &out);
    std::optional<frame_rule> take(frame_type type);

    frame_rules &m_rules;
    std::string m_buffer;
    std::string m_held; ///< A frame that waits for the next one.
};

} // namespace bronzechute::standins
