#pragma once

#include "gateway/response_head.h"
#include "gateway/wire_headers.h"

#include <string>

namespace bronzechute {

/**
 * @param requestId of the caller's request; empty if it has none
 * @param reused whether the connection served other requests before
 * @returns whether the head belongs to the response to the request
 */
bool isResponseTo(const response_head &head, const std::string &requestId, bool reused, const wire_headers &names);

/** @returns whether the endpoint states that it has not run the request. */
bool isRefusal(const response_head &head, const wire_headers &names);

/**
 * @returns whether callers take the status of a response for the promise that their request has not run and will not;
 * an endpoint gives that promise only by a refusal, see isRefusal()
 */
bool readsAsNotRun(int status);

/** @returns whether a success is one of an endpoint's application, which can be passed on. */
bool isAcceptableSuccess(const response_head &head, const wire_headers &names);

} // namespace bronzechute
