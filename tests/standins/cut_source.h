#pragma once

#include "http/body_source.h"

#include <string>

namespace bronzechute::standins {

/** Sends some bytes, then breaks the transfer. */
class cut_source : public body_source
{
public:
    explicit cut_source(std::string bytes) : m_bytes(std::move(bytes))
    {
    }

    ssize_t read(char *buffer, std::size_t capacity) override
    {
        if (m_bytes.empty()) {
            return broken;
        }
        const std::size_t count = m_bytes.copy(buffer, capacity);
        m_bytes.erase(0, count);
        return static_cast<ssize_t>(count);
    }

    void onClosed() override
    {
    }

private:
    std::string m_bytes;
};

} // namespace bronzechute::standins
