#include "gateway/store_message_codec.h"

#include <algorithm>

namespace bronzechute {

namespace {

using json = nlohmann::json;

constexpr std::int64_t maxRelayedAgeMs = 60000;

// The value of a deletion is null. Values are bytes, which need not be valid text.
json encodeEvent(const store_event &event)
{
    json value;
    if (!event.deleted) {
        value = json::binary({event.entry.value.begin(), event.entry.value.end()});
    }
    return {event.entry.key, event.entry.modRevision, value};
}

store_event decodeEvent(const json &body)
{
    store_event event;
    body.at(0).get_to(event.entry.key);
    body.at(1).get_to(event.entry.modRevision);
    event.deleted = body.at(2).is_null();
    if (!event.deleted) {
        const json::binary_t &bytes = body.at(2).get_ref<const json::binary_t &>();
        event.entry.value.assign(bytes.begin(), bytes.end());
    }
    return event;
}

} // namespace

json encodeStoreBody(const store_message &message)
{
    json changes;
    if (message.changes) {
        json events = json::array();
        for (const store_event &event : message.changes->events) {
            events.push_back(encodeEvent(event));
        }
        changes = {message.changes->after, message.changes->revision, events};
    }
    return {message.incarnation, message.sequence, message.answering, message.settled, message.ageMs,
            message.revision,    changes};
}

store_message decodeStoreBody(const json &body)
{
    store_message message;
    body.at(0).get_to(message.incarnation);
    body.at(1).get_to(message.sequence);
    body.at(2).get_to(message.answering);
    body.at(3).get_to(message.settled);
    message.ageMs = static_cast<int>(std::clamp<std::int64_t>(body.at(4).get<std::int64_t>(), 0, maxRelayedAgeMs));
    body.at(5).get_to(message.revision);
    const json &changes = body.at(6);
    if (!changes.is_null()) {
        store_changes &decoded = message.changes.emplace();
        changes.at(0).get_to(decoded.after);
        changes.at(1).get_to(decoded.revision);
        for (const json &event : changes.at(2)) {
            decoded.events.push_back(decodeEvent(event));
        }
    }
    return message;
}

} // namespace bronzechute
