#include "request/body_digest.h"

#include <xxhash.h>

namespace bronzechute {

void body_digest::deleter::operator()(XXH3_state_s *state) const
{
    XXH3_freeState(state);
}

body_digest::body_digest() : m_state(XXH3_createState())
{
    XXH3_64bits_reset(m_state.get());
}

void body_digest::add(std::string_view bytes)
{
    XXH3_64bits_update(m_state.get(), bytes.data(), bytes.size());
}

std::uint64_t body_digest::value() const
{
    return XXH3_64bits_digest(m_state.get());
}

} // namespace bronzechute
