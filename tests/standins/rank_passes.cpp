#include "standins/rank_passes.h"

#include "http/http_status.h"

#include <algorithm>
#include <mutex>

namespace bronzechute::standins {

namespace {

constexpr int statusConflict = 409;
constexpr std::int64_t passesUntilShift = 120;
constexpr double hotChoices = 60;
constexpr double otherChoices = 4;

} // namespace

rank_passes::rank_passes(std::size_t ranks)
    : m_ranks(ranks), m_counts(layers * experts, 0.0), m_thread([this] { run(); })
{
    const std::scoped_lock lock(m_mutex);
    reset();
}

rank_passes::~rank_passes()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

rank_passes::json rank_passes::firstMap(std::size_t ranks)
{
    json map = json::array();
    for (std::size_t layer = 0; layer < layers; ++layer) {
        json lists = json::array();
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            json held = json::array();
            for (std::size_t expert = rank; expert < experts; expert += ranks) {
                held.push_back(expert);
            }
            lists.push_back(held);
        }
        map.push_back(lists);
    }
    return map;
}

void rank_passes::reset()
{
    for (rank &each : m_ranks) {
        each = rank {};
        each.map.experts = firstMap(m_ranks.size());
    }
    std::ranges::fill(m_counts, 0.0);
}

void rank_passes::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_changed.wait_for(lock, interval, [this] { return m_stopping; });
        if (m_opensAt) {
            if (std::chrono::steady_clock::now() < *m_opensAt) {
                continue;
            }
            m_opensAt.reset();
            ++m_epoch;
            reset();
        }
        const bool held =
            std::ranges::any_of(m_ranks, [this](const rank &each) { return each.heldStep == m_step + 1; });
        if (!held) {
            beginPass();
        }
    }
}

void rank_passes::beginPass()
{
    ++m_step;
    for (rank &each : m_ranks) {
        if (each.armedStep == m_step) {
            each.map = *each.prepared;
            each.prepared.reset();
            each.armedStep.reset();
            ++m_switches;
        }
    }
    const auto differs = [this](const rank &each) {
        return each.map.version != m_ranks.front().map.version || each.map.experts != m_ranks.front().map.experts;
    };
    m_mixedPasses += std::ranges::any_of(m_ranks, differs) ? 1 : 0;
    if (m_step % passesUntilShift == 0) {
        m_hot = (m_hot + 3) % experts;
    }
    for (std::size_t index = 0; index < m_counts.size(); ++index) {
        m_counts[index] += index % experts == m_hot ? hotChoices : otherChoices;
    }
    m_changed.notify_all();
}

rank_passes::json rank_passes::report(std::size_t index)
{
    const std::scoped_lock lock(m_mutex);
    const rank &each = m_ranks.at(index);
    json body = {
        {"group", {{"name", "group"}, {"epoch", m_epoch}, {"rank", index}, {"state", m_opensAt ? "broken" : "open"}}},
        {"size", m_ranks.size()},
        {"step", m_step},
        {"map", each.map.version},
        {"sequence", m_orders},
        {"pace", 1.0}};
    if (each.prepared) {
        body["prepared"] = each.prepared->version;
    }
    if (each.armedStep) {
        body["armed"] = each.prepared->version;
    }
    if (each.heldStep) {
        body["held"] = *each.heldStep;
    }
    return body;
}

rank_passes::json rank_passes::counts(std::size_t index, bool lists)
{
    const std::scoped_lock lock(m_mutex);
    if (!lists) {
        return {{"step", m_step}, {"epoch", m_epoch}, {"counts", m_counts}};
    }
    const rank &each = m_ranks.at(index);
    json held = json::array();
    for (const json &layer : each.map.experts) {
        held.push_back(layer.at(index));
    }
    return {{"map", {{"version", each.map.version}, {"experts", held}}}};
}

int rank_passes::order(std::size_t index, const json &request)
{
    const std::scoped_lock lock(m_mutex);
    if (m_opensAt || request.value("epoch", m_epoch) != m_epoch) {
        return statusConflict;
    }
    const int status = apply(m_ranks.at(index), request);
    m_orders += status == statusAccepted ? 1 : 0;
    m_changed.notify_all();
    return status;
}

int rank_passes::apply(rank &target, const json &request)
{
    const std::string operation = request.value("operation", "");
    const std::int64_t version = request.value("version", std::int64_t {0});
    const std::int64_t step = request.value("step", std::int64_t {0});
    if (operation == "prepare") {
        if (target.prepared && target.prepared->version == version) {
            return statusOk;
        }
        if (version <= target.highest || target.armedStep) {
            return statusConflict;
        }
        target.highest = version;
        target.prepared = map_version {version, request.at("map")};
        return statusAccepted;
    }
    if (operation == "arm") {
        if (target.armedStep == step && target.prepared->version == version) {
            return statusOk;
        }
        if (!target.prepared || target.prepared->version != version || step <= m_step) {
            return target.map.version == version ? statusOk : statusConflict;
        }
        target.armedStep = step;
        return statusAccepted;
    }
    if (operation == "hold") {
        if (target.heldStep == step) {
            return statusOk;
        }
        if (target.heldStep || step <= m_step) {
            return statusConflict;
        }
        target.heldStep = step;
        return statusAccepted;
    }
    if (operation == "go") {
        if (target.heldStep != step) {
            return target.heldStep ? statusConflict : statusOk;
        }
        target.heldStep.reset();
        return statusAccepted;
    }
    return statusBadRequest;
}

void rank_passes::breakFor(std::chrono::milliseconds time)
{
    const std::scoped_lock lock(m_mutex);
    m_opensAt = std::chrono::steady_clock::now() + time;
    m_changed.notify_all();
}

bool rank_passes::waitForPass()
{
    std::unique_lock lock(m_mutex);
    const std::int64_t step = m_step;
    const std::int64_t epoch = m_epoch;
    m_changed.wait(lock, [&] { return m_stopping || m_opensAt || m_epoch != epoch || m_step != step; });
    return !m_stopping && !m_opensAt && m_epoch == epoch;
}

bool rank_passes::open()
{
    const std::scoped_lock lock(m_mutex);
    return !m_opensAt;
}

int rank_passes::mixedPasses()
{
    const std::scoped_lock lock(m_mutex);
    return m_mixedPasses;
}

int rank_passes::switches()
{
    const std::scoped_lock lock(m_mutex);
    return m_switches;
}

} // namespace bronzechute::standins
