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

/**
 * Watch of an etcd_store: lists the prefix, then streams changes from the listed revision on. After an error, a timeout
 * or a sign of a rolled-back store it lists the prefix again.
 */
class etcd_watch : public store_watch
{
public:
    etcd_watch(std::shared_ptr<etcd_connection> connection, std::string prefix,
               std::function<void(const store_event &)> onEvent);
    ~etcd_watch() override;

private:
    void run();
    /** Lists the prefix and reports all entries and deletions. @returns the store revision of the listing. */
    result<std::int64_t> reportListing();

    /** Streams changes after the listed revision until the stream ends. */
    void streamChanges(std::int64_t listedRevision);
    bool handleData(std::string_view data, std::int64_t listedRevision);

    /** @returns false when the watch has to list the prefix again. */
    bool handleMessage(std::string_view line, std::int64_t listedRevision);

    void report(std::vector<store_event> events);

    /** Waits for the given time. @returns false when the watch is stopping. */
    bool waitUnlessStopping(std::chrono::milliseconds time);

    const std::shared_ptr<etcd_connection> m_connection;
    const std::string m_prefix;
    const std::function<void(const store_event &)> m_onEvent;
    http_stream_reader m_reader;
    std::set<std::string> m_reportedKeys; ///< Keys last reported as present.
    std::string m_buffer; ///< Received part of an incomplete message.
    ranked_mutex m_mutex {lock_rank::store};
    std::condition_variable_any m_stopChanged;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace bronzechute
