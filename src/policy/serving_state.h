#pragma once

namespace bronzechute {

/** Whether an endpoint process takes work. */
enum class serving_state { starting, serving, leaving };

} // namespace bronzechute
