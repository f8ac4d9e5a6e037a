#pragma once

#include "standins/raw_connection.h"

#include <string>
#include <vector>

namespace bronzechute::standins {

/** Bytes of a server in trouble that are not to be taken for an answer. */
struct odd_answer
{
    std::string name; ///< Failure that the bytes guard against.
    std::string statusLine;
    std::string fields; ///< After those that each answer needs.
    std::string body;
};

/** @returns answers whose status line, fields or framing break the rules of HTTP (RFC 9110, RFC 9112). */
std::vector<odd_answer> oddAnswers();

/** Answers a request whose body is still being sent, without a length, and resets the connection after a part. */
void sendPartAndReset(raw_connection &connection);

} // namespace bronzechute::standins
