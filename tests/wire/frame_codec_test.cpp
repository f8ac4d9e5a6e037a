#include "wire/frame_codec.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

struct codec_row
{
    const char *name; ///< The failure that the row guards against.
    frame message;
};

const attempt_id sampleId {{0x1122334455667788, 0x99AABBCCDDEEFF00}, 3};

class frame_codec_round_trip : public testing::TestWithParam<codec_row>
{
};

TEST_P(frame_codec_round_trip, keepsEveryField)
{
    std::string bytes;
    encodeFrame(GetParam().message, bytes);
    frame_decoder decoder;
    auto frames = decoder.feed(bytes);
    ASSERT_TRUE(frames) << frames.error().toString();
    ASSERT_EQ(frames.value().size(), 1U);
    EXPECT_EQ(frames.value()[0], GetParam().message);
}

TEST_P(frame_codec_round_trip, survivesAnySplitOfTheBytes)
{
    std::string bytes;
    encodeFrame(GetParam().message, bytes);
    encodeFrame(GetParam().message, bytes);
    frame_decoder decoder;
    std::size_t decoded = 0;
    for (const char byte : bytes) {
        auto frames = decoder.feed({&byte, 1});
        ASSERT_TRUE(frames);
        decoded += frames.value().size();
    }
    EXPECT_EQ(decoded, 2U);
}

const endpoint_status sampleStatus {
    serving_state::leaving, "buda", {{"a", "b"}}, {"iroda-nyelv"}, 3, 8, 2, true, "start-1", 12.5, {0.02, 0.3}};

INSTANTIATE_TEST_SUITE_P(
    rows, frame_codec_round_trip,
    testing::Values(codec_row {"hello_field_lost", hello_frame {1, "n", 7, "entry", "buda", 5, 9}},
                    codec_row {"status_lost", heartbeat_frame {1, 2, 3, sampleStatus}},
                    codec_row {"absent_status_invented", heartbeat_frame {1, 2, 3, std::nullopt}},
                    codec_row {"configuration_cut", config_push_frame {4, std::string(1000000, 'c')}},
                    codec_row {"submit_field_lost",
                               submit_frame {sampleId,
                                             7,
                                             "office",
                                             2,
                                             9,
                                             endpoint_kind::service,
                                             "POST",
                                             "/orders?x=1",
                                             {{"A", "b"}},
                                             std::string("\0binary\xFF", 8),
                                             true,
                                             100,
                                             200,
                                             300,
                                             "00-11-22-01"}},
                    codec_row {"accepted_id_lost", accepted_frame {sampleId}},
                    codec_row {"refusal_reason_lost", refused_frame {sampleId, refusal_reason::leaving, 1500, "x"}},
                    codec_row {"headers_lost", response_head_frame {sampleId, 201, {{"X-Version", "4"}}}},
                    codec_row {"binary_data_changed", data_frame {sampleId, 12, std::string("\0\x01\xFE", 3)}},
                    codec_row {"digest_truncated", end_frame {sampleId, 4, 5, 0xFFFFFFFFFFFFFFFF}},
                    codec_row {"outcome_lost", failed_frame {sampleId, request_outcome::not_run, "s", "d"}},
                    codec_row {"credit_lost", credit_frame {sampleId, 9}},
                    codec_row {"cancel_id_lost", cancel_frame {sampleId}},
                    codec_row {"started_flag_lost", cancelled_frame {sampleId, true}},
                    codec_row {"resume_position_lost", resume_frame {sampleId, 77}},
                    codec_row {"session_version_lost", session_frame {"office", "orders", "office-1", 42}},
                    codec_row {"warm_pace_lost", warm_pace_frame {0.02, 0.3}}),
    [](const auto &row) { return std::string(row.param.name); });

struct invalid_stream_row
{
    const char *name; ///< The failure that the row guards against.
    std::string bytes;
    errc code;
};

class frame_codec_broken : public testing::TestWithParam<invalid_stream_row>
{
};

TEST_P(frame_codec_broken, isReported)
{
    frame_decoder decoder;
    auto frames = decoder.feed(GetParam().bytes);
    ASSERT_FALSE(frames);
    EXPECT_EQ(frames.error().code, GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(
    rows, frame_codec_broken,
    testing::Values(
        invalid_stream_row {"length_over_limit_buffered", std::string("\xFF\xFF\xFF\xFF", 4), errc::too_large},
        invalid_stream_row {"not_msgpack_accepted", std::string("\x01\0\0\0\xC1", 5), errc::protocol_violation},
        invalid_stream_row {"unknown_type_accepted", std::string("\x03\0\0\0\x92\x63\x90", 7),
                            errc::protocol_violation},
        invalid_stream_row {"missing_field_accepted", std::string("\x03\0\0\0\x92\x09\x90", 7),
                            errc::protocol_violation}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
