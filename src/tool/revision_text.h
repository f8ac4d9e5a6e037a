#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/** Prefix of the first line printed by the verb get. The verb apply reads the base revision from this line. */
constexpr std::string_view revisionCommentPrefix = "# revision: ";

/** @returns the revision, or std::nullopt unless the text is a non-negative integer. */
std::optional<std::int64_t> parseRevision(std::string_view text);

/** @returns N when the first line begins with "# revision: N", or std::nullopt otherwise. */
std::optional<std::int64_t> parseRevisionComment(std::string_view document);

} // namespace bronzechute
