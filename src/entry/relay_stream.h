#pragma once

#include "entry/request_context.h"
#include "http/body_source.h"

#include <functional>

namespace bronzechute {

/** Streams the answer of a pending request to the caller. A clean end follows only on a whole answer. */
class relay_stream final : public body_source
{
public:
    /** @param onFinished called once, with whether the caller was given the whole answer */
    relay_stream(request_context context, std::string collected,
                 std::function<void(request_context &, bool)> onFinished);

    ssize_t read(char *buffer, std::size_t capacity) override;
    void onClosed() override;

private:
    request_context m_context;
    std::string m_collected; ///< Bytes read before the answer became a stream.
    std::function<void(request_context &, bool)> m_onFinished;
    bool m_whole = false;
};

} // namespace bronzechute
