#pragma once

#include "backend/back_end.h"
#include "base/ranked_mutex.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute::standins {

/** Records the calls that an answer makes, for tests. */
class recording_sink : public answer_sink
{
public:
    void onHead(int status, const header_list &headers) override;
    bool onBytes(std::string_view bytes) override;
    void onEnd() override;
    void onError(const error &failure, bool mayHaveRun) override;

    /** Makes onBytes() return false once this many bytes have arrived. */
    void refuseAfter(std::size_t bytes);

    bool waitForEnd();

    /** Waits until this many bytes have arrived or the answer has ended. @returns whether they have arrived. */
    bool waitForBytes(std::size_t count);

    std::string body();
    int status();
    header_list headers();

    /** @returns one letter per call: h(ead), b(ytes; one letter for consecutive calls), e(nd), f(ailure). */
    std::string calls();

    std::optional<error> failure();
    bool mayHaveRun();

private:
    void recordCall(char call);
    bool waitUntil(const std::function<bool()> &condition);

    ranked_mutex m_mutex {lock_rank::leaf};
    std::condition_variable_any m_changed;
    std::string m_calls;
    std::string m_body;
    int m_status = 0;
    header_list m_headers;
    std::optional<error> m_failure;
    bool m_mayHaveRun = true;
    bool m_ended = false;
    std::size_t m_refuseAfter = SIZE_MAX;
};

} // namespace bronzechute::standins
