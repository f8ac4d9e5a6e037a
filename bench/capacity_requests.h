#pragma once

#include "counting_link.h"
#include "entry/pending_table.h"
#include "slope_recorder.h"
#include "usage_meter.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace bronzechute::bench {

/** Requests under way: their table, their frames, and the thread that each occupies in the HTTP server. */
inline void measureRequests(slope_recorder &recorder)
{
    std::mt19937_64 random(1);
    const auto connection = std::make_shared<counting_link>("worker-1");
    std::vector<std::pair<double, double>> memory;
    std::vector<std::pair<double, double>> time;
    for (const int count : {250, 500, 1000, 2000, 4000}) {
        pending_table table;
        const double before = usage_meter::allocatedBytes();
        const double begin = usage_meter::processorSeconds();
        for (int index = 0; index < count; ++index) {
            const auto request = std::make_shared<pending_request>(request_id::generate(random));
            table.add(request);
            submit_frame submit;
            submit.body = std::string(2000, 'p');
            submit.windowBytes = 65536;
            request->beginAttempt(submit, connection);
        }
        memory.emplace_back(count, usage_meter::allocatedBytes() - before);
        for (const auto &each : table.all()) {
            table.remove(each->id());
        }
        time.emplace_back(count, usage_meter::processorSeconds() - begin);
    }
    recorder.add("pending_memory", "request", "B", memory);
    recorder.add("pending_time", "request", "s", time);

    std::vector<std::pair<double, double>> relay;
    for (const int count : {1000, 2000, 4000, 8000, 16000}) {
        pending_request request(request_id::generate(random));
        submit_frame submit;
        submit.windowBytes = 1 << 20;
        request.beginAttempt(submit, connection);
        char buffer[4096];
        const double begin = usage_meter::processorSeconds();
        for (int index = 0; index < count; ++index) {
            data_frame data {{request.id(), 1}, static_cast<std::uint64_t>(index), std::string(180, 't')};
            request.onFrame(data);
            request.read(buffer, sizeof buffer, std::chrono::milliseconds(0));
        }
        relay.emplace_back(count, usage_meter::processorSeconds() - begin);
    }
    recorder.add("relay_time", "data frame", "s", relay);

    std::vector<std::pair<double, double>> threads;
    for (const int count : {25, 50, 100, 200}) {
        std::mutex mutex;
        std::condition_variable changed;
        bool stopping = false;
        std::atomic<int> waiting {0};
        const double before = usage_meter::residentBytes();
        std::vector<std::thread> running;
        running.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            running.emplace_back([&] {
                std::unique_lock lock(mutex);
                ++waiting;
                changed.wait(lock, [&] { return stopping; });
            });
        }
        while (waiting < count) {
            std::this_thread::yield();
        }
        threads.emplace_back(count, usage_meter::residentBytes() - before);
        {
            const std::scoped_lock lock(mutex);
            stopping = true;
        }
        changed.notify_all();
        for (std::thread &each : running) {
            each.join();
        }
    }
    recorder.add("thread_resident", "thread", "B", threads);
}

} // namespace bronzechute::bench
