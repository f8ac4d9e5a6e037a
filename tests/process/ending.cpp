#include "ending.h"

#include <curl/curl.h>

namespace bronzechute::standins {

unsigned endingOf(const fetch_answer &answer)
{
    if (answer.code != CURLE_OK || answer.status == 0) {
        return cut;
    }
    const std::string outcome = findHeader(answer.headers, "X-Bronzechute-Outcome").value_or("");
    return outcome == "answered" ? answered : outcome == "not_run" ? not_run : unknown;
}

} // namespace bronzechute::standins
