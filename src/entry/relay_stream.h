#pragma once

#include "entry/relay_end.h"
#include "entry/request_context.h"
#include "http/body_source.h"

#include <functional>

namespace bronzechute {

/** Streams the answer of a pending request to the caller. A clean end follows only on a whole answer. */
class relay_stream final : public body_source
{
public:
    /** @param onFinished called once, with why the relay ended */
    relay_stream(request_context context, std::string collected,
                 std::function<void(request_context &, relay_end)> onFinished);

    ssize_t read(char *buffer, std::size_t capacity) override;
    void onClosed() override;

private:
    request_context m_context;
    std::string m_collected; ///< Bytes read before the answer became a stream.
    std::function<void(request_context &, relay_end)> m_onFinished;
    relay_end m_end = relay_end::caller_left; ///< Holds when the connection closes before the answer ends.
};

} // namespace bronzechute
