#include "wire/frame_attempt.h"

namespace bronzechute {

std::optional<attempt_id> frameAttemptId(const frame &message)
{
    return std::visit(
        [](const auto &each) -> std::optional<attempt_id> {
            if constexpr (requires { each.id.attempt; }) {
                return each.id;
            } else {
                return std::nullopt;
            }
        },
        message);
}

} // namespace bronzechute
