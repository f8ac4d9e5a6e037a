#pragma once

#include "http/header_list.h"

namespace bronzechute {

/**
 * Removes the fields that hold for one connection only (RFC 9110, section 7.6.1), those that the Connection field
 * names among them.
 * @returns the other fields in order.
 */
header_list withoutHopByHop(const header_list &headers);

} // namespace bronzechute
