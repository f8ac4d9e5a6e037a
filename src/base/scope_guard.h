#pragma once

#include <utility>

namespace bronzechute {

/**
 * Calls a function at the end of the scope unless dismiss() was called.
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
        if (m_active) {
            m_function();
        }
    }

    scope_guard(const scope_guard &) = delete;
    scope_guard &operator=(const scope_guard &) = delete;

    void dismiss() noexcept
    {
        m_active = false;
    }

private:
    Function m_function;
    bool m_active = true;
};

} // namespace bronzechute
