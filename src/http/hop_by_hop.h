#pragma once

#include "http/header_list.h"

namespace bronzechute {

/**
 * Removes hop-by-hop header fields (RFC 9110, section 7.6.1), including those that the Connection field names.
 *
 * @returns the remaining fields in their original order.
 */
header_list withoutHopByHopHeaders(const header_list &headers);

} // namespace bronzechute
