#pragma once

#include "backend/back_end.h"
#include "backend/http_back_end_options.h"
#include "backend/transfer_loop.h"

#include <memory>

namespace bronzechute {

/**
 * Back end for an engine or a plain service at a base URL. Bodies, including server-sent events, are passed through
 * unchanged, except that requests to an engine get a priority field.
 *
 * An answer with neither Content-Length nor chunked coding ends when the connection closes, so that truncation of such
 * an answer is not detected.
 */
class http_back_end : public back_end
{
public:
    http_back_end(http_back_end_options options, std::shared_ptr<transfer_loop> loop);

    std::shared_ptr<transfer> start(const back_end_request &request, std::shared_ptr<answer_sink> sink) override;

    /** Must not be called from a sink, because it waits for the thread that calls the sinks. */
    back_end_load probe() override;

private:
    std::string bodyWithPriority(const back_end_request &request) const;

    const http_back_end_options m_options;
    const std::shared_ptr<transfer_loop> m_loop;
};

} // namespace bronzechute
