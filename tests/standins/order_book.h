#pragma once

#include "base/ranked_mutex.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute::standins {

/** Orders in the order of booking. The version is the number of writes. */
class order_book
{
public:
    struct order
    {
        std::uint64_t id = 0; ///< Also the version that booking it gave.
        std::string text;
    };

    /** Books an order, whether or not an equal one exists, and counts it by text and key. */
    order book(const std::string &text, const std::string &idempotencyKey);

    std::optional<order> find(std::uint64_t id);
    std::vector<order> all();
    std::uint64_t version();

    /** @returns how often each order text was booked. */
    std::map<std::string, std::uint64_t> countByText();

    /** @returns how often an order with each Idempotency-Key was booked; without a key: under the empty text. */
    std::map<std::string, std::uint64_t> countByKey();

private:
    ranked_mutex m_mutex {lock_rank::leaf};
    std::vector<order> m_orders;
    std::map<std::string, std::uint64_t> m_byText;
    std::map<std::string, std::uint64_t> m_byKey;
};

} // namespace bronzechute::standins
