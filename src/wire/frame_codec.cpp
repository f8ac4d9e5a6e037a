#include "wire/frame_codec.h"

#include <array>

namespace bronzechute {

namespace {

constexpr const char *decodeStep = "wire.decode";
constexpr std::size_t lengthPrefixBytes = 4;
constexpr std::size_t bitsPerByte = 8;

/** Adapts a std::string to the stream that msgpack writes to. */
class string_writer
{
public:
    explicit string_writer(std::string &target) : m_target(target)
    {
    }

    void write(const char *data, std::size_t size)
    {
        m_target.append(data, size);
    }

private:
    std::string &m_target;
};

std::uint32_t readLength(std::string_view bytes)
{
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < lengthPrefixBytes; ++index) {
        length |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[index])) << (bitsPerByte * index);
    }
    return length;
}

void writeLength(std::string &buffer, std::size_t position, std::size_t length)
{
    for (std::size_t index = 0; index < lengthPrefixBytes; ++index) {
        buffer[position + index] = static_cast<char>((length >> (bitsPerByte * index)) & 0xFF);
    }
}

/** @returns the number of array elements in the encoding of this frame type. */
template<typename Frame>
std::uint32_t fieldCount()
{
    static const std::uint32_t count = [] {
        std::string bytes;
        string_writer writer(bytes);
        msgpack::pack(writer, Frame {});
        return msgpack::unpack(bytes.data(), bytes.size()).get().via.array.size;
    }();
    return count;
}

template<typename Frame>
frame convertFields(const msgpack::object &fields)
{
    // msgpack leaves missing fields at their default values, so that a truncated frame would be accepted as valid.
    if (fields.type != msgpack::type::ARRAY || fields.via.array.size != fieldCount<Frame>()) {
        throw msgpack::type_error();
    }
    Frame message;
    fields.convert(message);
    return message;
}

template<std::size_t Index = 0>
frame convertByType(frame_type type, const msgpack::object &fields)
{
    if constexpr (Index == std::variant_size_v<frame>) {
        throw msgpack::type_error();
    } else {
        using candidate = std::variant_alternative_t<Index, frame>;
        if (candidate::type == type) {
            return convertFields<candidate>(fields);
        }
        return convertByType<Index + 1>(type, fields);
    }
}

frame decodeFrame(std::string_view bytes)
{
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    const msgpack::object &message = handle.get();
    if (message.type != msgpack::type::ARRAY || message.via.array.size != 2) {
        throw msgpack::type_error();
    }
    const auto type = static_cast<frame_type>(message.via.array.ptr[0].as<std::uint8_t>());
    return convertByType(type, message.via.array.ptr[1]);
}

} // namespace

void encodeFrame(const frame &message, std::string &buffer)
{
    const std::size_t start = buffer.size();
    buffer.append(lengthPrefixBytes, '\0');
    string_writer writer(buffer);
    msgpack::packer<string_writer> packer(writer);
    packer.pack_array(2);
    std::visit(
        [&packer](const auto &fields) {
            packer.pack(static_cast<std::uint8_t>(fields.type));
            packer.pack(fields);
        },
        message);
    writeLength(buffer, start, buffer.size() - start - lengthPrefixBytes);
}

result<std::vector<frame>> frame_decoder::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::vector<frame> frames;
    std::size_t position = 0;
    while (m_buffer.size() - position >= lengthPrefixBytes) {
        const std::string_view rest = std::string_view(m_buffer).substr(position);
        const std::uint32_t length = readLength(rest);
        if (length > maxFrameBytes) {
            return error {errc::too_large, decodeStep, {}, "frame of " + std::to_string(length) + " bytes"};
        }
        if (rest.size() < lengthPrefixBytes + length) {
            break;
        }
        try {
            frames.push_back(decodeFrame(rest.substr(lengthPrefixBytes, length)));
        } catch (const std::exception &failure) {
            return error {errc::protocol_violation, decodeStep, {}, failure.what()};
        }
        position += lengthPrefixBytes + length;
    }
    m_buffer.erase(0, position);
    return frames;
}

} // namespace bronzechute
