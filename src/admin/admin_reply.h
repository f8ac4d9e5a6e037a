#pragma once

#include "base/error.h"
#include "config/configuration_problem.h"
#include "http/http_reply.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace bronzechute {

/** @returns a reply with a JSON body. */
http_reply jsonReply(int status, const nlohmann::json &body);

/** @returns a reply {"error": {"code", "message", "field"}}; an empty field is null. */
http_reply errorReply(int status, const std::string &code, const std::string &message, const std::string &field = {});

/** @returns the reply for an error of the configuration repository. */
http_reply errorReply(const error &failure);

/** @returns a reply with status 422, the first error and the list of all problems of a document. */
http_reply invalidDocumentReply(const std::vector<configuration_problem> &problems);

/** @returns the problems as a JSON array of objects {level, path, line, found, expected}. */
nlohmann::json toJson(const std::vector<configuration_problem> &problems);

} // namespace bronzechute
