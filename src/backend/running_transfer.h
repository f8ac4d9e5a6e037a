#pragma once

#include "backend/back_end.h"
#include "backend/transfer_queue.h"
#include "backend/transfer_request.h"
#include "base/boot_clock.h"
#include "http/response_head_reader.h"

#include <curl/curl.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace bronzechute {

/**
 * An HTTP exchange over a libcurl easy handle. Other threads than that of the transfer loop may call only the methods
 * inherited from transfer.
 */
class running_transfer : public transfer, public std::enable_shared_from_this<running_transfer>
{
public:
    running_transfer(transfer_request request, std::shared_ptr<answer_sink> sink,
                     std::shared_ptr<transfer_queue> queue);

    void cancel() override;
    void pause() override;
    void resume() override;

    /** Creates the easy handle and starts the timeouts. @returns null when libcurl cannot create the handle. */
    CURL *prepare(time_point now);

    CURL *easy() const
    {
        return m_easy.get();
    }

    /** Continues to receive after resume(). @returns the error of a callback that ran during the call. */
    CURLcode unpause(time_point now);

    /** @returns the earliest time at which overdue() may return a reason. */
    time_point nextTimeout() const;

    /** @returns a description of the timeout that the transfer has exceeded; nothing when there is none. */
    std::optional<std::string> overdue(time_point now) const;

    /** Reports the result of the transfer to the sink. The easy handle must be removed from the multi handle before. */
    void finish(CURLcode code);

    /** Reports a failure to the sink. The easy handle must be removed from the multi handle before. */
    void fail(errc code, const std::string &detail);

private:
    struct easy_deleter
    {
        void operator()(CURL *easy) const
        {
            curl_easy_cleanup(easy);
        }
    };
    struct list_deleter
    {
        void operator()(curl_slist *list) const
        {
            curl_slist_free_all(list);
        }
    };

    static std::size_t onHeaderLine(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);
    static int onBeforeSend(void *self, char *, char *, int, int);

    bool addHeaderLine(std::string_view line);
    void setMethod();
    void setHeaders();

    const transfer_request m_request;
    const std::shared_ptr<answer_sink> m_sink;
    const std::shared_ptr<transfer_queue> m_queue;
    std::unique_ptr<CURL, easy_deleter> m_easy;
    std::unique_ptr<curl_slist, list_deleter> m_headers;
    char m_errorText[CURL_ERROR_SIZE] = {};
    std::atomic<bool> m_paused {false};
    std::atomic<bool> m_cancelled {false};
    bool m_sendStarted = false; ///< A connection was established and libcurl began to send the request.
    response_head_reader m_head;
    time_point m_deadline;
    time_point m_lastByte;
};

} // namespace bronzechute
