#pragma once

#include "backend/back_end.h"
#include "backend/transfer_queue.h"
#include "backend/transfer_request.h"
#include "base/boot_clock.h"

#include <curl/curl.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace bronzechute {

/**
 * One exchange over a libcurl easy handle. Only the methods of transfer are for other threads than the loop's.
 */
class running_transfer : public transfer, public std::enable_shared_from_this<running_transfer>
{
public:
    running_transfer(transfer_request request, std::shared_ptr<answer_sink> sink,
                     std::shared_ptr<transfer_queue> queue);

    void cancel() override;
    void pause() override;
    void resume() override;

    /** Creates the easy handle and starts the clocks. @returns null when libcurl cannot create one. */
    CURL *prepare(time_point now);

    CURL *easy() const
    {
        return m_easy.get();
    }

    /** Lets bytes flow again after resume(). @returns the failure of a callback that ran meanwhile. */
    CURLcode unpause(time_point now);

    /** @returns when overdue() may next hold. */
    time_point nextTimeout() const;

    /** @returns which limit the transfer has exceeded; nothing when none. */
    std::optional<std::string> overdue(time_point now) const;

    /** Reports how libcurl ended the transfer. The handle must have left the multi handle. */
    void finish(CURLcode code);

    /** Reports a failure that the loop decided. The handle must have left the multi handle. */
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

    void addHeaderLine(std::string_view line);
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
    bool m_sent = false; ///< A connection was open and libcurl began to send.
    bool m_headDone = false;
    int m_status = 0;
    header_list m_answerHeaders;
    time_point m_deadline;
    time_point m_lastByte;
};

} // namespace bronzechute
