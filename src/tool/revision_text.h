#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/** Beginning of the first line that the verb get prints, which tells apply the base of an edited document. */
constexpr std::string_view revisionCommentStart = "# revision: ";

/** @returns the revision, or nothing unless the text is an integer from 0. */
std::optional<std::int64_t> parseRevision(std::string_view text);

/** @returns the revision of a first line "# revision: N…", or nothing. */
std::optional<std::int64_t> revisionComment(std::string_view document);

} // namespace bronzechute
