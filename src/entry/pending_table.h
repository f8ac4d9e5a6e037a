#pragma once

#include "base/ranked_mutex.h"
#include "entry/pending_request.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace bronzechute {

/** The requests in progress at an entry, by id. Safe to use from several threads. */
class pending_table
{
public:
    void add(const std::shared_ptr<pending_request> &request);
    void remove(const request_id &id);

    /** @returns the request, or null. */
    std::shared_ptr<pending_request> find(const request_id &id) const;

    std::vector<std::shared_ptr<pending_request>> all() const;
    std::size_t size() const;

private:
    mutable ranked_mutex m_mutex {lock_rank::request_table};
    std::unordered_map<request_id, std::shared_ptr<pending_request>> m_requests;
};

} // namespace bronzechute
