#pragma once

#include "base/error.h"

#include <boost/outcome/outcome.hpp>

namespace bronzechute {

/**
 * A value of type T, or an error.
 *
 * Converts to true when it holds a value; value() and error() access the contents. Functions that return result<void>
 * return success() when they succeed.
 */
template<typename T>
using result = boost::outcome_v2::unchecked<T, error>;

using boost::outcome_v2::success;

} // namespace bronzechute
