#include "expert_map/demand_sampler.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds watchInterval {200};
// After a shift, a short sample covers only the new demand and delays the new map least. Ranks count whole passes, so
// that one rank is read until it has counted one, and then the others.
constexpr std::chrono::milliseconds collectionInterval {100};
constexpr std::chrono::milliseconds passPollInterval {50};
// While passes have just become longer, which may come from a shift, the watched rank is read at most this often.
constexpr std::chrono::milliseconds alarmInterval {500};
constexpr std::chrono::milliseconds refinementInterval {400};
// Longer samples mix the demand before and after a shift.
constexpr std::chrono::milliseconds maxSampleDuration {1000};
// A rank that does not answer in this time does not delay the others' counts any longer.
constexpr std::chrono::milliseconds answerTimeout {60};
// With so many selections for each expert, counting adds about a tenth to the load of the most loaded of many ranks.
constexpr double wantedSelectionsPerExpert = 100;
// A map for few selections is replaced once there are several times as many.
constexpr double muchMorePrecise = 3;
// Where little is selected, the watched rank completes the sample.
constexpr int maxCollections = 3;
// A rank without requests counts nothing.
constexpr int maxPolls = 4;
// Requests differ in what they select, and a rank has few of them, however much they select.
constexpr std::size_t minCollectedRanks = 4;
// Each reading pauses the whole group for some ms.
constexpr std::size_t maxCollectedRanks = 8;
// A larger part of a small group is not worth the pauses.
constexpr std::size_t ranksPerCollectedRank = 8;

} // namespace

bool demand_sampler::answersOutstanding(time_point now) const
{
    return !m_outstanding.empty() && now - m_readAt < answerTimeout;
}

const load_matrix *demand_sampler::demand(time_point now) const
{
    const bool collects =
        m_phase == phase::starting || (m_phase == phase::collecting && (m_collections == 0 || answersOutstanding(now)));
    const auto &known = m_tracker.demand();
    return collects || !known ? nullptr : &*known;
}

void demand_sampler::selectRanks(const std::vector<std::string> &ranks)
{
    const std::size_t least = std::min(minCollectedRanks, ranks.size());
    std::size_t wanted = std::clamp(ranks.size() / ranksPerCollectedRank, least, maxCollectedRanks);
    if (m_selectionsPerSecond > 0) {
        const double seconds = std::chrono::duration<double>(collectionInterval).count();
        const double sufficient = std::ceil(wantedSelectionsPerExpert / (m_selectionsPerSecond * seconds));
        wanted = std::clamp<std::size_t>(static_cast<std::size_t>(std::min(sufficient, 1e6)), least, wanted);
    }
    m_collected.clear();
    if (std::ranges::find(ranks, m_watched) != ranks.end()) {
        m_collected.push_back(m_watched); // The rank that showed the shift has been read already.
    }
    for (std::size_t index = 0; index < ranks.size() && m_collected.size() < wanted; ++index) {
        const std::string &rank = ranks[(m_firstRank + index * ranks.size() / wanted) % ranks.size()];
        if (std::ranges::find(m_collected, rank) == m_collected.end()) {
            m_collected.push_back(rank);
        }
    }
    m_watched = m_collected.front();
    ++m_firstRank;
}

std::vector<std::string> demand_sampler::read(std::vector<std::string> ranks, boot_clock::duration untilNext,
                                              time_point now)
{
    m_outstanding = {ranks.begin(), ranks.end()};
    m_readAt = now;
    m_dueAt = now + untilNext;
    return ranks;
}

void demand_sampler::beginCollection(time_point now)
{
    m_phase = phase::starting;
    m_collections = 0;
    m_selectionsAtChange = 0;
    m_dueAt = now;
}

void demand_sampler::noteChange(time_point now)
{
    const double selections = m_tracker.selectionsPerExpert();
    if (demand(now) != nullptr && selections > muchMorePrecise * m_selectionsAtChange) {
        m_changedAt = now;
        m_selectionsAtChange = selections;
    }
}

std::vector<std::string> demand_sampler::due(const std::vector<std::string> &ranks, bool slowed, time_point now)
{
    if (slowed && m_phase == phase::watching && now - m_alarmAt >= alarmInterval) {
        m_alarmAt = now;
        m_dueAt = now;
    }
    if (ranks.empty() || answersOutstanding(now)) {
        return {};
    }
    const auto isGone = [&ranks](const std::string &rank) {
        return std::ranges::find(ranks, rank) == ranks.end();
    };
    std::erase_if(m_collected, isGone);
    if (m_phase == phase::collecting && isGone(m_watched)) {
        m_phase = phase::starting; // The first collected rank is the watched one.
    }
    if (now - m_readAt > maxSampleDuration) {
        m_tracker.restart();
        beginCollection(now);
    }
    noteChange(now);
    const bool collected = m_collections > 0 && m_tracker.demand().has_value();
    if (m_phase == phase::collecting && (collected || m_collections >= maxCollections)) {
        const bool thin = m_tracker.demand() && m_tracker.selectionsPerExpert() < wantedSelectionsPerExpert;
        m_phase = thin ? phase::refining : phase::watching;
        m_dueAt = m_readAt + (thin ? refinementInterval : watchInterval);
    }
    if (now < m_dueAt) {
        return {};
    }
    if (m_outstanding.contains(m_watched)) {
        onFailure(m_watched);
    }
    if (m_phase == phase::collecting && m_collected.empty()) {
        m_phase = phase::starting; // None of the ranks has answered.
    }
    switch (m_phase) {
    case phase::starting: {
        selectRanks(ranks);
        std::vector<std::string> unread;
        std::ranges::copy_if(m_collected, std::back_inserter(unread),
                             [this](const std::string &rank) { return !m_tracker.knows(rank); });
        m_phase = phase::collecting;
        m_countedPass = false;
        m_polls = 0;
        return read(std::move(unread), passPollInterval, now);
    }
    case phase::collecting:
        if (!m_countedPass && m_polls < maxPolls) {
            ++m_polls;
            return read({m_watched}, passPollInterval, now);
        }
        ++m_collections;
        m_polls = 0;
        m_countedPass = false;
        // The first one is the watched rank, which was read just now.
        return read({std::next(m_collected.begin()), m_collected.end()}, collectionInterval, now);
    case phase::refining:
        m_phase = phase::watching;
        return read(m_collected, watchInterval, now);
    case phase::watching:
        break;
    }
    if (isGone(m_watched)) {
        m_watched = ranks[m_firstRank % ranks.size()];
        ++m_firstRank;
    }
    return read({m_watched}, watchInterval, now);
}

demand_tracker::change demand_sampler::record(const std::string &rank, const rank_counts &counts, time_point now)
{
    m_outstanding.erase(rank);
    const bool watched = rank == m_watched;
    const bool counted = m_tracker.knows(rank);
    const auto change =
        watched && m_phase == phase::watching ? m_tracker.record(rank, counts) : m_tracker.add(rank, counts);
    if (watched && (change != demand_tracker::change::unknown || !counted)) {
        const double seconds = std::chrono::duration<double>(now - m_sampledAt).count();
        m_selectionsPerSecond = counted && seconds > 0 ? m_tracker.latestSelectionsPerExpert() / seconds : 0;
        m_sampledAt = now;
    }
    if (change == demand_tracker::change::shifted) {
        beginCollection(now);
    } else if (m_phase == phase::collecting && watched && change == demand_tracker::change::steady) {
        m_countedPass = true;
        m_dueAt = now;
    }
    if (m_outstanding.empty()) {
        noteChange(now);
    }
    return change;
}

void demand_sampler::onFailure(const std::string &rank)
{
    m_outstanding.erase(rank);
    std::erase(m_collected, rank);
    if (rank == m_watched) {
        m_watched = m_collected.empty() ? std::string() : m_collected.front();
    }
}

} // namespace bronzechute
