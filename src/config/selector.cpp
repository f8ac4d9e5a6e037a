#include "config/selector.h"

#include "config/text_check.h"

#include <algorithm>

namespace bronzechute {

namespace {

error invalidTerm(std::string_view term, const std::string &reason)
{
    return {errc::invalid_argument, "selector.parse", "", "term \"" + std::string(term) + "\": " + reason};
}

/** Splits at commas outside parentheses and trims the parts. */
std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    int depth = 0;
    std::size_t begin = 0;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '(') {
            ++depth;
        } else if (text[index] == ')') {
            --depth;
        } else if (text[index] == ',' && depth == 0) {
            parts.push_back(trimmed(text.substr(begin, index - begin)));
            begin = index + 1;
        }
    }
    parts.push_back(trimmed(text.substr(begin)));
    return parts;
}

} // namespace

result<selector> selector::parse(std::string_view text)
{
    selector parsed;
    parsed.m_text = text;
    if (trimmed(text).empty()) {
        return parsed;
    }
    for (const std::string_view part : split(text)) {
        auto term = parseTerm(part);
        if (!term) {
            return term.error();
        }
        parsed.m_terms.push_back(std::move(term.value()));
    }
    return parsed;
}

result<selector::term> selector::parseTerm(std::string_view text)
{
    term parsed;
    std::string_view key = text;
    if (text.empty()) {
        return invalidTerm(text, "a term is missing beside a comma");
    }
    if (text.back() == ')') {
        const auto open = text.find('(');
        const std::string_view head = trimmed(text.substr(0, open == std::string_view::npos ? 0 : open));
        const auto blank = head.find_last_of(" \t");
        const std::string_view verb = blank == std::string_view::npos ? "" : head.substr(blank + 1);
        if (verb != "in" && verb != "notin") {
            return invalidTerm(text, "a list in parentheses has to follow \"key in\" or \"key notin\"");
        }
        parsed.kind = verb == "in" ? term_kind::in : term_kind::not_in;
        key = trimmed(head.substr(0, blank));
        for (const std::string_view value : split(text.substr(open + 1, text.size() - open - 2))) {
            parsed.values.emplace_back(value);
        }
    } else if (text.front() == '!') {
        parsed.kind = term_kind::absent;
        key = trimmed(text.substr(1));
    } else if (const auto equals = text.find('='); equals != std::string_view::npos) {
        const bool negated = equals > 0 && text[equals - 1] == '!';
        parsed.kind = negated ? term_kind::not_in : term_kind::in;
        key = trimmed(text.substr(0, negated ? equals - 1 : equals));
        parsed.values.emplace_back(trimmed(text.substr(equals + 1)));
    }
    if (!isLabelText(key)) {
        return invalidTerm(text, "the key has to be " + std::string(labelExpectation));
    }
    for (const std::string &value : parsed.values) {
        if (!isLabelText(value)) {
            return invalidTerm(text, "each value has to be " + std::string(labelExpectation));
        }
    }
    parsed.key = key;
    return parsed;
}

bool selector::matches(const label_set &labels) const
{
    return std::all_of(m_terms.begin(), m_terms.end(), [&](const term &each) {
        const auto label = labels.find(each.key);
        const bool present = label != labels.end();
        const bool listed =
            present && std::find(each.values.begin(), each.values.end(), label->second) != each.values.end();
        switch (each.kind) {
        case term_kind::in:
            return listed;
        case term_kind::not_in:
            return !listed;
        case term_kind::exists:
            return present;
        case term_kind::absent:
            return !present;
        }
        return false;
    });
}

} // namespace bronzechute
