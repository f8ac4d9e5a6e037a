#pragma once

#include "backend/back_end.h"
#include "backend/collected_answer.h"
#include "base/ranked_mutex.h"

#include <chrono>
#include <condition_variable>

namespace bronzechute {

/** Buffers a short answer for a thread that waits for it. */
class collecting_sink : public answer_sink
{
public:
    /** @param limit maximum bytes of the body; a longer body cancels the transfer */
    explicit collecting_sink(std::size_t limit) : m_limit(limit)
    {
    }

    void onHead(int status, const header_list &headers) override;
    bool onBytes(std::string_view bytes) override;
    void onEnd() override;
    void onError(const error &failure, bool mayHaveRun) override;

    /** Waits until the transfer ends or the time limit has passed. @returns whether the transfer has ended. */
    bool waitFor(std::chrono::milliseconds limit);

    /** @returns the part of the answer that has arrived. */
    collected_answer answer();

private:
    const std::size_t m_limit;
    ranked_mutex m_mutex {lock_rank::leaf};
    std::condition_variable_any m_changed;
    collected_answer m_answer;
    bool m_done = false;
};

} // namespace bronzechute
