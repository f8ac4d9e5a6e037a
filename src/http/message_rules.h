#pragma once

#include "http/header_list.h"

#include <optional>
#include <string_view>

namespace bronzechute {

/** What a status code makes of a response. */
enum class status_class {
    invalid, ///< No response of HTTP, or a protocol that was not asked for.
    interim, ///< The final response follows.
    final_response,
};

/** @returns the class of a status code; 101 (Switching Protocols) is invalid, as no request asks for it. */
status_class statusClassOf(int status);

/** @returns the status code of a status line without its line end; nothing if the line is not one of HTTP. */
std::optional<int> parseStatusLine(std::string_view line);

/** @returns whether the text is a token (RFC 9110, 5.6.2), as the names of fields are. */
bool isToken(std::string_view text);

/** @returns whether the value of a field is free of control bytes other than the tab. */
bool isFieldValue(std::string_view text);

/**
 * Checks the fields that say where the body of a message ends.
 * @returns why the end is not known, or null: transfer codings other than chunked alone, several or malformed lengths,
 *          or a length beside a transfer coding
 */
const char *framingFaultOf(const header_list &fields);

} // namespace bronzechute
