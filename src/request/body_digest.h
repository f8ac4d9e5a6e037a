#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

struct XXH3_state_s;

namespace bronzechute {

/** Incremental XXH3-64 digest of a body. */
class body_digest
{
public:
    body_digest();
    void add(std::string_view bytes);
    std::uint64_t value() const;

private:
    struct deleter
    {
        void operator()(XXH3_state_s *state) const;
    };

    std::unique_ptr<XXH3_state_s, deleter> m_state;
};

} // namespace bronzechute
