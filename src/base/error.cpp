#include "base/error.h"

namespace bronzechute {

std::string error::toString() const
{
    std::string text = step + ": " + code.message();
    if (!peer.empty()) {
        text += " (" + peer + ")";
    }
    if (!detail.empty()) {
        text += ": " + detail;
    }
    return text;
}

} // namespace bronzechute
