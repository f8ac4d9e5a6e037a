#pragma once

#include "backend/back_end.h"
#include "backend/sse_parser.h"
#include "base/boot_clock.h"
#include "standins/token_text.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute::bench {

/** Records when each event of one streamed completion arrives; checks the tokens afterwards. */
class stream_recorder : public answer_sink
{
public:
    /** @param running decremented at the end of the stream */
    stream_recorder(std::string prompt, std::size_t tokens, std::atomic<int> &running)
        : m_prompt(std::move(prompt)), m_tokens(tokens), m_running(running), m_start(boot_clock::now())
    {
    }

    void onHead(int status, const header_list &) override
    {
        m_status = status;
    }

    bool onBytes(std::string_view bytes) override
    {
        const time_point now = boot_clock::now();
        for (sse_event &event : m_parser.feed(bytes)) {
            m_events.push_back({now, std::move(event.data)});
        }
        return true;
    }

    void onEnd() override
    {
        --m_running;
    }

    void onError(const error &failure, bool) override
    {
        m_failure = failure;
        --m_running;
    }

    /** Reads the recorded events. Call after the end. */
    void check()
    {
        for (const auto &[when, data] : m_events) {
            const auto object = nlohmann::json::parse(data, nullptr, false);
            if (!object.is_object() || !object.contains("choices")) {
                continue;
            }
            const auto &delta = object["choices"][0].value("delta", nlohmann::json::object());
            if (!delta.contains("content")) {
                continue;
            }
            if (delta["content"] == standins::tokenText(m_prompt, m_arrivals.size())) {
                m_arrivals.push_back(when);
            } else {
                ++m_outOfOrder;
            }
        }
    }

    /** @returns arrival times of the tokens that came in order, from index 0. */
    const std::vector<time_point> &arrivals() const
    {
        return m_arrivals;
    }

    /** @returns the number of missing tokens of an accepted stream; a refused one was never promised any. */
    std::size_t lost() const
    {
        return refused() ? 0 : m_tokens - m_arrivals.size();
    }

    /** @returns whether an answer came whose status is not 2xx. */
    bool refused() const
    {
        constexpr int firstSuccess = 200;
        constexpr int firstOther = 300;
        return m_status != 0 && (m_status < firstSuccess || m_status >= firstOther);
    }

    /** @returns whether the stream was refused or ended with an error. */
    bool failed() const
    {
        return refused() || m_failure.has_value();
    }

    std::size_t outOfOrder() const
    {
        return m_outOfOrder;
    }

    time_point start() const
    {
        return m_start;
    }

    int status() const
    {
        return m_status;
    }

    const std::optional<error> &failure() const
    {
        return m_failure;
    }

private:
    struct recorded_event
    {
        time_point when;
        std::string data;
    };

    const std::string m_prompt;
    const std::size_t m_tokens;
    std::atomic<int> &m_running;
    const time_point m_start;
    sse_parser m_parser;
    std::vector<recorded_event> m_events;
    std::vector<time_point> m_arrivals;
    std::size_t m_outOfOrder = 0;
    int m_status = 0;
    std::optional<error> m_failure;
};

} // namespace bronzechute::bench
