#pragma once

#include "base/ranked_mutex.h"
#include "standins/scripted_server.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace bronzechute::standins {

/**
 * Stand-in of a model engine that ends when it begins to write an answer to a prompt with a deadly part. Some time
 * later it starts again at the same address. Streams have five events; a request that arrives while it is down is
 * refused.
 */
class crashing_engine
{
public:
    static constexpr int events = 5; ///< Of a stream.
    static constexpr std::chrono::milliseconds downtime {150};

    /** @param onStart called after each start with its number, from another thread but for the first */
    explicit crashing_engine(std::function<void(int start)> onStart);
    ~crashing_engine();

    /** @returns "127.0.0.1:PORT". */
    std::string address() const
    {
        return m_address;
    }

    /** Sets the parts that end the engine. */
    void setDeadly(std::set<std::string> parts);

    /** From now on, heads are sent before prompts are read, and a deadly part ends the engine after the first event. */
    void beginEarly()
    {
        m_beginsEarly = true;
        crashAfter(1);
    }

    /** From now on, a deadly part ends the engine when this many events of the answer were sent. */
    void crashAfter(int eventCount)
    {
        m_eventsBeforeCrash = eventCount;
    }

    /** Ends the engine while requests run, whatever they hold. */
    void crash();

    int crashes() const
    {
        return m_crashes;
    }

    /** @returns the prompt fields of all requests that reached the engine. */
    std::vector<std::string> prompts();

private:
    bool serve(const scripted_request &request, raw_connection &connection);
    bool isDeadly(const std::string &prompt);
    void restart(const std::stop_token &stop);

    const std::function<void(int)> m_onStart;
    std::string m_address;
    std::atomic<int> m_crashes {0};
    std::atomic<bool> m_beginsEarly {false};
    std::atomic<int> m_eventsBeforeCrash {0};
    ranked_mutex m_mutex {lock_rank::leaf};
    std::condition_variable_any m_crashed;
    bool m_down = false;
    std::set<std::string> m_deadly;
    std::vector<std::string> m_prompts;
    std::unique_ptr<scripted_server> m_server;
    std::jthread m_restarter;
};

} // namespace bronzechute::standins
