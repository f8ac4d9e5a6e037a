#include "gateway/memory_share.h"

#include "gateway/memory_budget.h"

namespace bronzechute {

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

void memory_share::resize(std::size_t bytes, time_point now)
{
    m_budget.resize(*this, bytes, now);
}

} // namespace bronzechute
