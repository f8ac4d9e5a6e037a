#include "gateway/memory_share.h"

#include "gateway/memory_budget.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr std::size_t uncountedBytes = std::size_t {4} * 1024;

} // namespace

memory_share::memory_share(memory_budget &budget, memory_holder *holder) : m_budget(budget), m_holder(holder)
{
    m_budget.add(*this);
}

memory_share::~memory_share()
{
    m_budget.remove(*this);
}

void memory_share::setUse(memory_use use, time_point since)
{
    m_use = m_holder == nullptr ? memory_use::kept : use;
    m_since = since;
}

bool memory_share::tryResize(std::size_t bytes, time_point now)
{
    return m_budget.tryResize(*this, bytes, now);
}

bool memory_share::isOutdated(std::size_t bytes) const
{
    return std::max(bytes, m_bytes) - std::min(bytes, m_bytes) > uncountedBytes;
}

void memory_share::resize(std::size_t bytes, time_point now)
{
    m_budget.resize(*this, bytes, now);
}

} // namespace bronzechute
