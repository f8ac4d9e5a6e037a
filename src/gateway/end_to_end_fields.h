#pragma once

#include "http/header_list.h"

#include <boost/beast/http/fields.hpp>

namespace bronzechute {

/** @returns the fields of a message in the order received. */
header_list allFields(const boost::beast::http::fields &fields);

/** @returns the header fields of a message in order, without the hop-by-hop fields. */
header_list endToEndFields(const boost::beast::http::fields &fields);

} // namespace bronzechute
