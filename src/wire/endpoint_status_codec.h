#pragma once

#include "policy/endpoint_status.h"

#include <msgpack.hpp>

MSGPACK_ADD_ENUM(bronzechute::serving_state);

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    constexpr std::uint32_t endpointStatusFields = 12;

    template<>
    struct pack<bronzechute::endpoint_status>
    {
        template<typename Stream>
        msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &out,
                                            const bronzechute::endpoint_status &value) const
        {
            out.pack_array(endpointStatusFields);
            out.pack(value.state);
            out.pack(value.dataCentre);
            out.pack(value.labels);
            out.pack(value.models);
            out.pack(value.inFlight);
            out.pack(value.limit);
            out.pack(value.queued);
            out.pack(value.cold);
            out.pack(value.engineStartId);
            out.pack(value.meanServiceMs);
            out.pack(value.warmPace.tokenSeconds);
            out.pack(value.warmPace.callSeconds);
            return out;
        }
    };

    template<>
    struct convert<bronzechute::endpoint_status>
    {
        const msgpack::object &operator()(const msgpack::object &in, bronzechute::endpoint_status &value) const
        {
            if (in.type != msgpack::type::ARRAY || in.via.array.size != endpointStatusFields) {
                throw msgpack::type_error();
            }
            const msgpack::object *field = in.via.array.ptr;
            (field++)->convert(value.state);
            (field++)->convert(value.dataCentre);
            (field++)->convert(value.labels);
            (field++)->convert(value.models);
            (field++)->convert(value.inFlight);
            (field++)->convert(value.limit);
            (field++)->convert(value.queued);
            (field++)->convert(value.cold);
            (field++)->convert(value.engineStartId);
            (field++)->convert(value.meanServiceMs);
            (field++)->convert(value.warmPace.tokenSeconds);
            (field++)->convert(value.warmPace.callSeconds);
            return in;
        }
    };

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack
