#include "standins/order_book.h"

#include <mutex>

namespace bronzechute::standins {

order_book::order order_book::book(const std::string &text, const std::string &idempotencyKey)
{
    const std::scoped_lock lock(m_mutex);
    ++m_byText[text];
    ++m_byKey[idempotencyKey];
    return m_orders.emplace_back(order {m_orders.size() + 1, text});
}

std::optional<order_book::order> order_book::find(std::uint64_t id)
{
    const std::scoped_lock lock(m_mutex);
    return id == 0 || id > m_orders.size() ? std::nullopt : std::optional(m_orders[id - 1]);
}

std::vector<order_book::order> order_book::all()
{
    const std::scoped_lock lock(m_mutex);
    return m_orders;
}

std::uint64_t order_book::version()
{
    const std::scoped_lock lock(m_mutex);
    return m_orders.size();
}

std::map<std::string, std::uint64_t> order_book::countByText()
{
    const std::scoped_lock lock(m_mutex);
    return m_byText;
}

std::map<std::string, std::uint64_t> order_book::countByKey()
{
    const std::scoped_lock lock(m_mutex);
    return m_byKey;
}

} // namespace bronzechute::standins
