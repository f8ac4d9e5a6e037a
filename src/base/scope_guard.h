#pragma once

#include <utility>

namespace bronzechute {

/**
 * Runs a function at the end of the scope unless dismissed.
 */
template<typename Function>
class scope_guard
{
public:
    explicit scope_guard(Function function) : m_function(std::move(function))
    {
    }

    ~scope_guard()
    {
        if (m_armed) {
            m_function();
        }
    }

    scope_guard(const scope_guard &) = delete;
    scope_guard &operator=(const scope_guard &) = delete;

    void dismiss() noexcept
    {
        m_armed = false;
    }

private:
    Function m_function;
    bool m_armed = true;
};

} // namespace bronzechute
