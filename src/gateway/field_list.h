#pragma once

#include "http/header_list.h"

#include <boost/beast/http/fields.hpp>

namespace bronzechute {

/** @returns the fields of a message in order, without those of one connection only. */
header_list endToEndFields(const boost::beast::http::fields &fields);

} // namespace bronzechute
