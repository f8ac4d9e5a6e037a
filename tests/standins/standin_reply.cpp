#include "standins/standin_reply.h"

#include "http/http_status.h"
#include "standins/cut_source.h"

#include <memory>

namespace bronzechute::standins {

http_reply jsonReply(int status, const nlohmann::json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump(), nullptr};
}

http_reply cutReply()
{
    return {statusOk, {}, {}, std::make_shared<cut_source>("")};
}

} // namespace bronzechute::standins
