#pragma once

#include "gateway/response_head.h"
#include "http/header_list.h"

#include <string>
#include <string_view>

namespace bronzechute {

/** @returns the header block of a request, with the empty line that ends it. */
std::string formatRequestHead(std::string_view method, std::string_view target, const header_list &headers);

/** @returns the header block of a response, with the empty line that ends it. */
std::string formatResponseHead(const response_head &head);

/** @returns the standard reason phrase of the status, or "Unknown". */
std::string reasonOf(int status);

/** @returns the bytes as one chunk of a chunked body. */
std::string formatChunk(std::string_view bytes);

constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace bronzechute
