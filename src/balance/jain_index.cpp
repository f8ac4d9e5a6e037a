#include "balance/jain_index.h"

namespace bronzechute {

double jainIndex(std::span<const double> shares)
{
    double sum = 0;
    double squares = 0;
    for (const double share : shares) {
        sum += share;
        squares += share * share;
    }
    return squares > 0 ? sum * sum / (static_cast<double>(shares.size()) * squares) : 1;
}

} // namespace bronzechute
