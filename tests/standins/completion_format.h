#pragma once

#include "standins/completion_request.h"

#include <string>

namespace bronzechute::standins {

/** Writes the JSON of answers as the OpenAI interface has it. */
class completion_format
{
public:
    completion_format(const completion_request &request, const std::string &model, std::uint64_t number);

    /** @returns a whole answer with the tokens up to the one before end. */
    std::string whole(std::size_t end) const;

    /** @returns the event of one token. */
    std::string tokenEvent(std::size_t index) const;

    /** @returns the last events: finish reason, usage and [DONE]. */
    std::string lastEvents(std::size_t end) const;

private:
    std::string usage(std::size_t end) const;

    const completion_request m_request;
    std::string m_prefix; ///< Common beginning of every object.
    std::string m_chunkPrefix;
};

} // namespace bronzechute::standins
