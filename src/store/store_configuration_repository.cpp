#include "store/store_configuration_repository.h"

#include "base/boot_clock.h"
#include "base/request_id.h"
#include "config/configuration_parser.h"
#include "store/store_paths.h"

#include <ctime>
#include <mutex>
#include <thread>

namespace bronzechute {

namespace {

constexpr const char *proposeStep = "configuration.propose";
constexpr std::chrono::milliseconds proposeRetryInterval {50};

std::string currentTimestamp()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts {};
    gmtime_r(&now, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

error revisionConflict(const configuration_envelope &acceptedEnvelope)
{
    return {errc::conflict,
            proposeStep,
            {},
            "revision " + std::to_string(acceptedEnvelope.revision) + " by " + acceptedEnvelope.author + " at "
                + acceptedEnvelope.at + " is in force"};
}

} // namespace

/** The stored state that a proposal replaces. */
struct store_configuration_repository::base_version
{
    configuration_envelope envelope; ///< Current configuration; revision 0 when none was accepted yet.
    std::int64_t currentModRevision = 0;
    std::int64_t historyModRevision = 0; ///< Not 0 when a history entry of the proposed revision exists already.
};

store_configuration_repository::store_configuration_repository(platform_store &store, std::uint64_t seed,
                                                               std::chrono::milliseconds resolveTimeout)
    : m_store(store), m_resolveTimeout(resolveTimeout), m_random(seed)
{
}

result<configuration_envelope> store_configuration_repository::current()
{
    const auto entry = m_store.get(store_paths::currentConfiguration);
    if (!entry) {
        return entry.error();
    }
    return entry.value() ? parseEnvelope(entry.value()->value) : configuration_envelope();
}

result<configuration_envelope> store_configuration_repository::at(std::int64_t revision)
{
    const auto entry = m_store.get(store_paths::historyKey(revision));
    if (!entry) {
        return entry.error();
    }
    if (!entry.value()) {
        return error {errc::not_found, "configuration.read", {}, "revision " + std::to_string(revision)};
    }
    return parseEnvelope(entry.value()->value);
}

result<std::vector<configuration_envelope>> store_configuration_repository::history(std::size_t limit)
{
    const auto newest = current();
    if (!newest) {
        return newest.error();
    }
    std::vector<configuration_envelope> envelopes;
    for (std::int64_t revision = newest.value().revision; revision > 0 && envelopes.size() < limit; --revision) {
        auto envelope = at(revision);
        if (envelope) {
            envelopes.push_back(std::move(envelope.value()));
        } else if (envelope.error().code != errc::not_found) {
            return envelope.error();
        }
    }
    return envelopes;
}

result<store_configuration_repository::base_version> store_configuration_repository::readBase(std::int64_t revision)
{
    base_version base;
    const auto entry = m_store.get(store_paths::currentConfiguration);
    if (!entry) {
        return entry.error();
    }
    if (entry.value()) {
        auto envelope = parseEnvelope(entry.value()->value);
        if (!envelope) {
            return envelope.error();
        }
        base.envelope = std::move(envelope.value());
        base.currentModRevision = entry.value()->modRevision;
    }
    const auto orphanedEntry = m_store.get(store_paths::historyKey(revision));
    if (!orphanedEntry) {
        return orphanedEntry.error();
    }
    base.historyModRevision = orphanedEntry.value() ? orphanedEntry.value()->modRevision : 0;
    return base;
}

result<configuration_envelope> store_configuration_repository::propose(const configuration &content,
                                                                       std::int64_t baseRevision,
                                                                       const std::string &author)
{
    const auto base = readBase(baseRevision + 1);
    if (!base) {
        return base.error();
    }
    if (base.value().envelope.revision != baseRevision) {
        return revisionConflict(base.value().envelope);
    }
    configuration_envelope proposed {baseRevision + 1, {}, author, currentTimestamp(), content};
    {
        const std::scoped_lock lock(m_mutex);
        proposed.writeId = request_id::generate(m_random).toString();
    }
    // A document that the processes cannot parse would be accepted but never applied.
    const auto readBack = parseEnvelope(serializeEnvelope(proposed));
    if (!readBack) {
        return error {errc::invalid_argument, proposeStep, {}, readBack.error().detail};
    }
    return writeUntilResolved(proposed, base.value());
}

// After an unknown outcome the store is read back. While it still holds the base version, the same transaction is sent
// again. Only one of the two can take effect, because the other fails the revision check, and both carry the same write
// identifier.
result<configuration_envelope>
store_configuration_repository::writeUntilResolved(const configuration_envelope &proposed, const base_version &base)
{
    const std::string value = serializeEnvelope(proposed);
    const std::vector<store_write> writes = {
        {store_paths::currentConfiguration, base.currentModRevision, value, 0},
        {store_paths::historyKey(proposed.revision), base.historyModRevision, value, 0}};
    const time_point deadline = boot_clock::now() + m_resolveTimeout;
    bool mayHaveTakenEffect = false;
    for (;;) {
        const auto written = m_store.compareAndSwapAll(writes);
        if (written) {
            return proposed;
        }
        mayHaveTakenEffect = mayHaveTakenEffect || written.error().code == errc::outcome_unknown;
        if (written.error().code != errc::conflict && !mayHaveTakenEffect) {
            return written.error();
        }
        const auto latest = current();
        if (latest && latest.value().writeId == proposed.writeId) {
            return proposed;
        }
        if (latest && latest.value().revision >= proposed.revision) {
            // Another change may already have followed the proposed one; the history then contains the proposal.
            const auto accepted = at(proposed.revision);
            if (accepted) {
                return accepted.value().writeId == proposed.writeId ? result<configuration_envelope>(proposed)
                                                                    : revisionConflict(latest.value());
            }
        } else if (latest && written.error().code == errc::conflict) {
            // The keys changed without a newer revision: the store was reset, or a history entry was orphaned.
            return revisionConflict(latest.value());
        }
        if (boot_clock::now() >= deadline) {
            return error {errc::outcome_unknown, proposeStep, {}, written.error().toString()};
        }
        std::this_thread::sleep_for(proposeRetryInterval);
    }
}

} // namespace bronzechute
