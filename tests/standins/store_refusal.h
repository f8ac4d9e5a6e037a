#pragma once

#include <stdexcept>
#include <string>

namespace bronzechute::standins {

/** A call that the store refuses, with its HTTP status and its gRPC code. */
struct store_refusal : std::runtime_error
{
    store_refusal(int httpStatus, int grpcCode, const std::string &message)
        : std::runtime_error(message), status(httpStatus), code(grpcCode)
    {
    }

    int status;
    int code;
};

} // namespace bronzechute::standins
