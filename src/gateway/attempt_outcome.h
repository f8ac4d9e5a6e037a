#pragma once

namespace bronzechute {

/** Outcome of an attempt at an endpoint. */
enum class attempt_outcome {
    answered,
    not_sent, ///< No byte reached the endpoint.
    refused, ///< The endpoint stated that it has not run the request.
    failed, ///< The endpoint may have run the request.
};

/** @returns the name of an outcome as the log lines of attempts have it. */
inline const char *nameOf(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::not_sent:
        return "not_sent";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::failed:
        return "failed";
    }
    return "failed";
}

} // namespace bronzechute
