#pragma once

#include "http/body_source.h"
#include "standins/store_server.h"

namespace bronzechute::standins {

/** The stream of one watch on the stand-in store. */
class store_watch_source : public body_source
{
public:
    /** Called with the server's mutex held. */
    store_watch_source(store_server &server, std::string key, std::string rangeEnd, std::int64_t startRevision);

    ssize_t read(char *buffer, std::size_t capacity) override;
    void onClosed() override;

private:
    void collectEvents(time_point now);
    void appendMessage(nlohmann::json message);
    void countOnce();

    store_server &m_server;
    const std::string m_key;
    const std::string m_rangeEnd;
    std::int64_t m_nextRevision;
    const int m_silenceCount;
    const int m_closeCount;
    bool m_counted = true;
    time_point m_lastSent;
    std::string m_pending;
};

} // namespace bronzechute::standins
