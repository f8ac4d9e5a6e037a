#include "gateway/end_to_end_fields.h"

#include "http/hop_by_hop.h"

namespace bronzechute {

header_list allFields(const boost::beast::http::fields &fields)
{
    header_list headers;
    for (const auto &field : fields) {
        headers.emplace_back(std::string(field.name_string().data(), field.name_string().size()),
                             std::string(field.value().data(), field.value().size()));
    }
    return headers;
}

header_list endToEndFields(const boost::beast::http::fields &fields)
{
    return withoutHopByHopHeaders(allFields(fields));
}

} // namespace bronzechute
