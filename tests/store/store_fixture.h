#pragma once

#include "standins/store_server.h"
#include "store/etcd_store.h"

#include <memory>

namespace bronzechute {

/** A stand-in store and an adapter with short deadlines. */
struct store_fixture
{
    explicit store_fixture(std::chrono::milliseconds callTimeout = std::chrono::seconds(5))
        : server(std::move(standins::store_server::start().value())), store(makeStore(callTimeout))
    {
    }

    std::unique_ptr<etcd_store> makeStore(std::chrono::milliseconds callTimeout) const
    {
        etcd_store_options options;
        options.endpoints = {server->url()};
        options.callTimeout = callTimeout;
        options.reconnectDelay = std::chrono::milliseconds(20);
        return std::make_unique<etcd_store>(options);
    }

    /** @returns the value of the key, or "absent", read without faults. */
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
