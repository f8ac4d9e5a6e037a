#pragma once

namespace bronzechute {

/** Whether an endpoint process accepts requests. */
enum class serving_state { starting, serving, leaving };

} // namespace bronzechute
