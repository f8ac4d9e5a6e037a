#pragma once

#include "base/result.h"
#include "config/label_set.h"

#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/**
 * A predicate over labels: comma-separated terms "key=value", "key!=value", "key in (a,b)", "key notin (a,b)", "key"
 * and
 * "!key", all of which must match. The empty selector matches everything. "!=" and "notin" also match when the key is
 * absent.
 */
class selector
{
public:
    selector() = default;

    /** @returns the selector, or errc::invalid_argument with the invalid term in the detail. */
    static result<selector> parse(std::string_view text);

    bool matches(const label_set &labels) const;

    /** @returns the text that was parsed. */
    const std::string &text() const
    {
        return m_text;
    }

    friend bool operator==(const selector &, const selector &) = default;

private:
    enum class term_kind { in, not_in, exists, absent };

    struct term
    {
        term_kind kind = term_kind::exists;
        std::string key;
        std::vector<std::string> values;

        friend bool operator==(const term &, const term &) = default;
    };

    static result<term> parseTerm(std::string_view text);

    std::string m_text;
    std::vector<term> m_terms;
};

} // namespace bronzechute
