#pragma once

#include "base/ranked_mutex.h"
#include "http/http_stream_reader.h"
#include "store/etcd_connection.h"
#include "store/platform_store.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>

namespace bronzechute {

/** A watch of etcd_store: lists the prefix, then follows it from the listed revision, and starts over on any doubt. */
class etcd_watch : public store_watch
{
public:
    etcd_watch(std::shared_ptr<etcd_connection> connection, std::string prefix,
               std::function<void(const store_event &)> onEvent);
    ~etcd_watch() override;

private:
    void run();
    result<std::int64_t> reportListing();
    void follow(std::int64_t listedRevision);
    bool handleData(std::string_view data, std::int64_t listedRevision);
    bool handleMessage(std::string_view line, std::int64_t listedRevision);
    void report(std::vector<store_event> events);
    bool pause(std::chrono::milliseconds time);

    const std::shared_ptr<etcd_connection> m_connection;
    const std::string m_prefix;
    const std::function<void(const store_event &)> m_onEvent;
    http_stream_reader m_reader;
    std::set<std::string> m_known; ///< Keys that were reported as present.
    std::string m_buffer; ///< The beginning of a message that has not arrived whole.
    ranked_mutex m_mutex {lock_rank::store};
    std::condition_variable_any m_stopChanged;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace bronzechute
