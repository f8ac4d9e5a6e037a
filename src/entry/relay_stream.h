#pragma once

#include "entry/relay_end.h"
#include "entry/request_context.h"
#include "http/body_source.h"
#include "request/stream_continuation.h"

#include <functional>
#include <memory>

namespace bronzechute {

/**
 * Streams the answer of a pending request to the caller. A clean end follows only on a whole answer, or on one that
 * another endpoint continued to its end.
 */
class relay_stream final : public body_source
{
public:
    /** Begins an attempt elsewhere with the given request body. @returns whether its answer can be relayed. */
    using continue_function = std::function<bool(request_context &, std::string)>;

    /**
     * @param onFinished called once, with why the relay ended
     * @param continueElsewhere called when the answer breaks and can be continued; empty when it must not be
     */
    relay_stream(request_context context, std::string collected,
                 std::function<void(request_context &, relay_end)> onFinished, continue_function continueElsewhere);

    ssize_t read(char *buffer, std::size_t capacity) override;
    void onClosed() override;

private:
    ssize_t giveCollected(char *buffer, std::size_t capacity);
    /** Reads once from the attempt under way. @returns as read(), or 0 when there was nothing to relay. */
    ssize_t readOnce(char *buffer, std::size_t capacity);
    ssize_t finishWhole(char *buffer, std::size_t capacity);
    bool tryContinuation();

    request_context m_context;
    std::string m_collected; ///< Bytes to relay before those of the attempt under way.
    std::function<void(request_context &, relay_end)> m_onFinished;
    continue_function m_continueElsewhere;
    std::unique_ptr<stream_continuation> m_continuation; ///< Null when the answer must not be continued.
    relay_end m_end = relay_end::caller_left; ///< Holds when the connection closes before the answer ends.
};

} // namespace bronzechute
