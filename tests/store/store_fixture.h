#pragma once

#include "standins/store_server.h"
#include "store/etcd_store.h"

#include <memory>

namespace bronzechute {

/** A stand-in store server and an etcd_store with short timeouts. */
struct store_fixture
{
    explicit store_fixture(std::chrono::milliseconds callTimeout = std::chrono::seconds(5))
        : server(std::move(standins::store_server::start().value())), store(makeStore(callTimeout))
    {
    }

    /** @returns another client of the server. */
    std::unique_ptr<etcd_store> makeStore(std::chrono::milliseconds callTimeout) const
    {
        etcd_store_options options;
        options.endpoints = {server->url()};
        options.callTimeout = callTimeout;
        options.reconnectDelay = std::chrono::milliseconds(20);
        return std::make_unique<etcd_store>(options);
    }

    /** Ends outages and delays, then reads the key. @returns its value, or "absent". */
    std::string valueOf(const std::string &key) const
    {
        server->inject({{"outage", false}, {"delay_ms", 0}, {"delay_answer_ms", 0}});
        const auto reader = makeStore(std::chrono::seconds(10));
        const auto entry = reader->get(key);
        return entry && entry.value() ? entry.value()->value : "absent";
    }

    std::unique_ptr<standins::store_server> server;
    std::unique_ptr<etcd_store> store;
};

} // namespace bronzechute
