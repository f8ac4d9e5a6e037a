#pragma once

#include "entry/endpoint_directory.h"
#include "heartbeat_peer.h"
#include "link/link_hub.h"
#include "node/configuration_exchange.h"
#include "slope_recorder.h"

namespace bronzechute::bench {

/** An entry's reaction to connections and heartbeats, without its HTTP server. */
class entry_handler : public link_handler
{
public:
    entry_handler() : m_directory(daemon_settings(), m_holder), m_exchange(m_holder, [] {})
    {
    }

    void onUp(const link_ptr &connection) override
    {
        m_exchange.onUp(connection);
        m_directory.onUp(connection);
        ++m_up;
    }

    void onFrame(const link_ptr &connection, frame message) override
    {
        if (const auto *beat = std::get_if<heartbeat_frame>(&message)) {
            m_exchange.onPeerRevision(connection, beat->revision);
            m_directory.onHeartbeat(connection, *beat->status, boot_clock::now());
        }
    }

    void onDown(const link_ptr &connection, const std::string &) override
    {
        m_exchange.onDown(connection);
        m_directory.onDown(connection);
    }

    heartbeat_frame makeHeartbeat() override
    {
        heartbeat_frame beat;
        beat.revision = m_holder.current()->revision;
        return beat;
    }

    int up() const
    {
        return m_up;
    }

private:
    configuration_holder m_holder;
    endpoint_directory m_directory;
    configuration_exchange m_exchange;
    std::atomic<int> m_up {0};
};

/** A hub that dials so many endpoints and idles. */
inline void measureLinks(slope_recorder &recorder)
{
    std::vector<std::pair<double, double>> processor;
    std::vector<std::pair<double, double>> sent;
    std::vector<std::pair<double, double>> received;
    std::vector<std::pair<double, double>> memory;
    for (const int count : {10, 20, 40, 80, 160, 10, 20, 40, 80, 160}) {
        heartbeat_peer peer;
        entry_handler handler;
        link_options options;
        options.self = {protocolVersion, "entry-1.dc-1", 7, "entry", "dc-1", 0, 0};
        malloc_trim(0);
        const double residentBefore = usage_meter::residentBytes();
        const auto hub = std::move(link_hub::create(options, {}, handler).value());
        hub->open();
        for (int index = 0; index < count; ++index) {
            hub->dial(capacity_sample::endpointName(index), peer.address());
        }
        for (int tries = 0; handler.up() < count && tries < 500; ++tries) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
        const double begin = usage_meter::seconds(CLOCK_MONOTONIC);
        const double processorBegin = usage_meter::processorSeconds() - peer.processorSeconds();
        const double sentBegin = peer.received();
        const double receivedBegin = peer.sent();
        std::this_thread::sleep_for(std::chrono::milliseconds(3000));
        const double seconds = usage_meter::seconds(CLOCK_MONOTONIC) - begin;
        processor.emplace_back(count,
                               (usage_meter::processorSeconds() - peer.processorSeconds() - processorBegin) / seconds);
        sent.emplace_back(count, (peer.received() - sentBegin) / seconds);
        received.emplace_back(count, (peer.sent() - receivedBegin) / seconds);
        memory.emplace_back(count, usage_meter::residentBytes() - residentBefore);
    }
    recorder.add("link_idle_processor", "connection", "core", processor);
    recorder.add("link_idle_sent", "connection", "B/s", sent);
    recorder.add("link_idle_received", "connection", "B/s", received);
    recorder.add("link_resident", "connection", "B", {memory.begin(), memory.begin() + 5});
}

} // namespace bronzechute::bench
