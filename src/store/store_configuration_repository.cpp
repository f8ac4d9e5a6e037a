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
constexpr std::chrono::milliseconds settlePause {50};

std::string currentTimeText()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts {};
    gmtime_r(&now, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

error competingChange(const configuration_envelope &winner)
{
    return {errc::conflict,
            proposeStep,
            {},
            "revision " + std::to_string(winner.revision) + " by " + winner.author + " at " + winner.at
                + " is in force"};
}

} // namespace

/** What a proposal replaces. */
struct store_configuration_repository::base_version
{
    configuration_envelope envelope; ///< Revision 0 when none was accepted yet.
    std::int64_t currentModRevision = 0;
    std::int64_t historyModRevision = 0; ///< Of the proposed revision; not 0 when an entry was left behind.
};

store_configuration_repository::store_configuration_repository(platform_store &store, std::uint64_t seed,
                                                               std::chrono::milliseconds settleTime)
    : m_store(store), m_settleTime(settleTime), m_random(seed)
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
    const auto leftBehind = m_store.get(store_paths::historyKey(revision));
    if (!leftBehind) {
        return leftBehind.error();
    }
    base.historyModRevision = leftBehind.value() ? leftBehind.value()->modRevision : 0;
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
        return competingChange(base.value().envelope);
    }
    configuration_envelope proposed {baseRevision + 1, {}, author, currentTimeText(), content};
    {
        const std::scoped_lock lock(m_mutex);
        proposed.mark = request_id::generate(m_random).toString();
    }
    // A document that the nodes could not read back would stay in force nowhere.
    const auto readBack = parseEnvelope(serializeEnvelope(proposed));
    if (!readBack) {
        return error {errc::invalid_argument, proposeStep, {}, readBack.error().detail};
    }
    return settle(proposed, base.value());
}

// After an unknown outcome the store is read back. As long as it holds the base version, the same transaction is sent
// again: whether it or the delayed first one takes effect, the other fails on the version, and the mark is the same.
result<configuration_envelope> store_configuration_repository::settle(const configuration_envelope &proposed,
                                                                      const base_version &base)
{
    const std::string value = serializeEnvelope(proposed);
    const std::vector<store_write> writes = {
        {store_paths::currentConfiguration, base.currentModRevision, value, 0},
        {store_paths::historyKey(proposed.revision), base.historyModRevision, value, 0}};
    const time_point end = boot_clock::now() + m_settleTime;
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
        const auto inForce = current();
        if (inForce && inForce.value().mark == proposed.mark) {
            return proposed;
        }
        if (inForce && inForce.value().revision >= proposed.revision) {
            // Another change may have followed the proposed one at once; then the history has it.
            const auto accepted = at(proposed.revision);
            if (accepted) {
                return accepted.value().mark == proposed.mark ? result<configuration_envelope>(proposed)
                                                              : competingChange(inForce.value());
            }
        } else if (inForce && written.error().code == errc::conflict) {
            // The keys changed without a newer revision: the store was reset or an entry was left behind.
            return competingChange(inForce.value());
        }
        if (boot_clock::now() >= end) {
            return error {errc::outcome_unknown, proposeStep, {}, written.error().toString()};
        }
        std::this_thread::sleep_for(settlePause);
    }
}

} // namespace bronzechute
