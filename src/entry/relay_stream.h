#pragma once

#include "entry/relay_end.h"
#include "entry/request_context.h"
#include "http/body_source.h"
#include "request/stream_continuation.h"

#include <functional>
#include <memory>

namespace bronzechute {

/**
 * Streams the answer of a pending request to the caller. The stream ends without an error only when the answer is
 * complete, possibly after another endpoint continued it.
 */
class relay_stream final : public body_source
{
public:
    /** Starts an attempt on another endpoint with the given request body. @returns whether its answer can be relayed.
     */
    using continue_function = std::function<bool(request_context &, std::string)>;

    /**
     * @param buffered bytes of the answer that were already read
     * @param onFinished called once, with the reason why the relay ended
     * @param continueOnOtherEndpoint called when the answer breaks and can be continued; empty when it must not be
     * continued
     */
    relay_stream(request_context context, std::string buffered,
                 std::function<void(request_context &, relay_end)> onFinished,
                 continue_function continueOnOtherEndpoint);

    ssize_t read(char *buffer, std::size_t capacity) override;
    void onClosed() override;

private:
    ssize_t takeBuffered(char *buffer, std::size_t capacity);

    /** Reads once from the current attempt. @returns the result of read(), or 0 when there is nothing to relay yet. */
    ssize_t readOnce(char *buffer, std::size_t capacity);
    ssize_t finishComplete(char *buffer, std::size_t capacity);
    bool tryContinuation();

    request_context m_context;
    std::string m_buffered; ///< Bytes to relay before those of the current attempt.
    std::function<void(request_context &, relay_end)> m_onFinished;
    continue_function m_continueOnOtherEndpoint;
    std::unique_ptr<stream_continuation> m_continuation; ///< Null when the answer must not be continued.
    relay_end m_end = relay_end::client_disconnected; ///< Initial value: reported when the connection closes first.
};

} // namespace bronzechute
