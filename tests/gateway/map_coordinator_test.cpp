#include "gateway/map_coordinator.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <thread>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t layers = 1;
constexpr std::size_t experts = 8;
constexpr std::size_t ranks = 2;

/** A coordinator term set by the test. */
class fixed_term : public coordinator_term
{
public:
    std::int64_t term(time_point) const override
    {
        return value;
    }

    std::int64_t value = 1;
};

/** Engines of one group with two ranks; responses are queued until deliver() is called. */
class fake_engines : public rank_engine_client
{
public:
    void readReport(const gateway_endpoint_ptr &endpoint,
                    std::function<void(const result<rank_report> &)> done) override
    {
        rank_report report;
        report.group = "g";
        report.epoch = epoch;
        report.rank = endpoint->record.id == "e0" ? 0 : 1;
        report.ranks = ranks;
        report.open = open;
        report.step = step;
        report.map = map;
        report.held = reportedHold;
        report.prepared = reportedPrepared;
        report.pace = report.rank == 1 ? slowdownOfLast : 1.0;
        m_waiting.emplace_back([this, done, report] {
            if (holdingRankGone && report.rank == 0) {
                done(error {errc::unavailable, "test", {}, "connection refused"});
            } else {
                done(report);
            }
        });
    }

    void readCounts(const gateway_endpoint_ptr &, std::size_t,
                    std::function<void(const result<rank_counts> &)> done) override
    {
        rank_counts counts;
        counts.epoch = epoch;
        counts.chosen = load_matrix(layers, experts);
        ++m_countsRead;
        for (std::size_t expert = 0; expert < experts; ++expert) {
            counts.chosen.at(0, expert) = (expert == 0 ? 9000.0 : 100.0) * m_countsRead;
        }
        m_waiting.emplace_back([done, counts] { done(counts); });
    }

    void readExperts(const gateway_endpoint_ptr &endpoint,
                     std::function<void(const result<rank_experts> &)> done) override
    {
        const std::size_t rank = endpoint->record.id == "e0" ? 0 : 1;
        rank_experts held {map, {{}}};
        for (std::size_t expert = rank; expert < experts; expert += ranks) {
            held.byLayer.front().push_back(static_cast<std::uint16_t>(expert));
        }
        m_waiting.emplace_back([done, held] { done(held); });
    }

    void send(const gateway_endpoint_ptr &, const rank_command &order, const expert_map &,
              std::function<void(command_outcome)> done) override
    {
        sent.push_back(order);
        const bool arms = order.kind == rank_command_kind::arm;
        m_waiting.emplace_back([this, done, arms, earlier = order.epoch < epoch] {
            const auto refused = earlier ? command_outcome::rejected : command_outcome::accepted;
            done(arms && armsLost ? command_outcome::unknown : refused);
        });
    }

    void deliver()
    {
        std::vector<std::function<void()>> ready;
        ready.swap(m_waiting);
        for (const auto &answer : ready) {
            answer();
        }
    }

    std::size_t count(rank_command_kind kind) const
    {
        return static_cast<std::size_t>(std::ranges::count(sent, kind, &rank_command::kind));
    }

    std::vector<rank_command> sent;
    std::int64_t epoch = 1;
    std::int64_t step = 10;
    std::int64_t map = 0;
    bool open = true;
    bool armsLost = false;
    bool holdingRankGone = false; ///< The first rank does not answer requests for its report.
    double slowdownOfLast = 1.0; ///< Of the rank with the highest number.
    std::optional<std::int64_t> reportedHold;
    std::optional<std::int64_t> reportedPrepared;

private:
    std::vector<std::function<void()>> m_waiting;
    double m_countsRead = 0;
};

class coordinated_group : public testing::Test
{
protected:
    coordinated_group()
    {
        routing_document document;
        route streams;
        streams.services = {{"models", 1}};
        streams.gapTarget = 120ms;
        routed_service models;
        models.name = "models";
        models.engine = engine_profile {};
        models.engine->expertLayers = layers;
        models.engine->expertsPerLayer = experts;
        models.engine->expertSlots = experts;
        models.engine->spareExpertSlots = 4;
        models.engine->expertCopyMs = 1;
        document.routes = {streams};
        document.services = {models};
        m_coordinator.setRouting(std::make_shared<routing_table>(document));
        for (const char *id : {"e0", "e1"}) {
            endpoint_record record;
            record.id = id;
            record.service = "models";
            record.address = "127.0.0.1:9";
            m_endpoints.update(record);
            m_endpoints.all().at(id)->longestGapMs = 110;
        }
    }

    /** Runs the coordinator until the condition holds. @returns whether it held within the limit */
    bool runUntil(const std::function<bool()> &holds, std::chrono::milliseconds limit = 5000ms)
    {
        const time_point end = boot_clock::now() + limit;
        while (!holds() && boot_clock::now() < end) {
            m_coordinator.tick();
            m_engines.deliver();
            std::this_thread::sleep_for(2ms);
        }
        return holds();
    }

    boost::asio::io_context m_loop;
    endpoint_table m_endpoints {"here"};
    fake_engines m_engines;
    fixed_term m_term;
    map_coordinator m_coordinator {m_loop, m_endpoints, m_engines, m_term};
};

TEST_F(coordinated_group, switchesItsMapByHoldArmAndRelease)
{
    ASSERT_TRUE(runUntil([this] { return m_engines.count(rank_command_kind::release) > 0; }));
    std::vector<rank_command_kind> kinds;
    for (const rank_command &order : m_engines.sent) {
        kinds.push_back(order.kind);
        EXPECT_EQ(order.epoch, 1);
    }
    using enum rank_command_kind;
    EXPECT_EQ(kinds, (std::vector<rank_command_kind> {prepare, prepare, hold, arm, arm, release}));
    EXPECT_GT(m_engines.sent[2].step, m_engines.step);
}

TEST_F(coordinated_group, keepsItsMapWhileItsStreamsAreFast)
{
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        endpoint->longestGapMs = 40;
    }
    m_engines.map = 5; // A map that was planned before.
    EXPECT_FALSE(runUntil([this] { return !m_engines.sent.empty(); }, 1500ms));
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        endpoint->longestGapMs = 110;
    }
    EXPECT_TRUE(runUntil([this] { return !m_engines.sent.empty(); })) << "nothing but the fast streams held it back";
}

// In a large group, a gateway has streams at few ranks, and has seen none at most of the others for a long time.
TEST_F(coordinated_group, followsDemandWithStreamsAtOneOfItsRanks)
{
    m_engines.map = 5; // A map that was planned before.
    gateway_endpoint &used = *m_endpoints.all().at("e0");
    gateway_endpoint &unused = *m_endpoints.all().at("e1");
    unused.longestGapMs = 30;
    unused.lastGapAt = boot_clock::now() - 10s;
    used.lastGapMs = 110;
    EXPECT_TRUE(runUntil([&] {
        used.lastGapAt = boot_clock::now();
        return !m_engines.sent.empty();
    })) << "ranks without streams made the passes of the others look short";
}

TEST_F(coordinated_group, getsAMapBeforeItsStreamsAreLate)
{
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        endpoint->longestGapMs = 0; // The first streams have just begun.
    }
    EXPECT_TRUE(runUntil([this] { return m_engines.count(rank_command_kind::release) > 0; }));
}

TEST_F(coordinated_group, isNotSwitchedAgainBeforeTheStepOfItsLastSwitch)
{
    ASSERT_TRUE(runUntil([this] { return m_engines.count(rank_command_kind::release) > 0; }));
    m_engines.map = 10001;
    const std::int64_t switchStep = m_engines.sent.back().step;
    m_engines.sent.clear();
    m_engines.slowdownOfLast = 8.0; // Reason for another map.
    const auto prepares = [this] {
        return m_engines.count(rank_command_kind::prepare) > 0;
    };
    m_engines.step = switchStep - 1;
    EXPECT_FALSE(runUntil(prepares, 2000ms)) << "the engines are still armed and would refuse";
    m_engines.step = switchStep;
    EXPECT_TRUE(runUntil(prepares));
}

TEST_F(coordinated_group, reportsASlowEngineToTheGateways)
{
    m_engines.slowdownOfLast = 8.0;
    EXPECT_TRUE(runUntil([this] {
        const auto states = m_coordinator.groupStates();
        return !states.empty() && states.front().avoided == std::vector<std::string> {"e1"};
    }));
}

// The engine of the first rank crashes during a switch, and the group forms again without this gateway being the
// coordinator any more.
TEST_F(coordinated_group, endsASwitchWhoseFirstRankIsGone)
{
    m_engines.armsLost = true;
    ASSERT_TRUE(runUntil([this] { return m_engines.count(rank_command_kind::arm) > 0; }));
    m_term.value = 0;
    m_engines.deliver();
    m_engines.holdingRankGone = true;
    m_engines.armsLost = false;
    m_engines.epoch = 2;
    EXPECT_TRUE(runUntil([this] { return !m_coordinator.switching(); }, 3000ms));
    EXPECT_LE(m_engines.count(rank_command_kind::arm), 60U) << "the engines get a command every 40 ms without an end";
}

TEST_F(coordinated_group, isReleasedEvenIfTheLeaseIsLostDuringAHold)
{
    m_engines.armsLost = true;
    ASSERT_TRUE(runUntil([this] { return m_engines.count(rank_command_kind::arm) > 0; }));
    m_term.value = 0;
    EXPECT_FALSE(runUntil([this] { return m_engines.count(rank_command_kind::release) > 0; }, 200ms));
    m_engines.armsLost = false;
    EXPECT_TRUE(runUntil([this] { return m_engines.count(rank_command_kind::release) > 0; }));
}

TEST_F(coordinated_group, switchesToTheLastKnownDemandWhenItFormsAgain)
{
    ASSERT_TRUE(runUntil([this] { return m_engines.count(rank_command_kind::release) > 0; }));
    m_engines.sent.clear();
    m_engines.open = false;
    runUntil([this] { return !m_coordinator.groupStates().front().open; });
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        endpoint->longestGapMs = 0; // No stream has measured the initial map yet.
    }
    m_engines.epoch = 2;
    m_engines.step = 0;
    m_engines.open = true;
    EXPECT_TRUE(runUntil([this] { return m_engines.count(rank_command_kind::prepare) == ranks; }, 1000ms));
    EXPECT_EQ(m_engines.sent.front().epoch, 2);
}

TEST_F(coordinated_group, isReportedClosedWhileAnEngineIsMissing)
{
    int changes = 0;
    m_coordinator.setGroupsListener([&changes] { ++changes; });
    ASSERT_TRUE(runUntil([this] { return m_coordinator.groupStates().size() == 1; }));
    EXPECT_TRUE(m_coordinator.groupStates().front().open);
    EXPECT_EQ(m_coordinator.groupStates().front().endpoints, (std::vector<std::string> {"e0", "e1"}));
    m_engines.open = false;
    EXPECT_TRUE(runUntil([this] { return !m_coordinator.groupStates().front().open; }, 1000ms));
    m_engines.open = true;
    EXPECT_TRUE(runUntil([this] { return m_coordinator.groupStates().front().open; }, 400ms));
    EXPECT_GE(changes, 3);
    m_term.value = 0;
    m_coordinator.tick();
    EXPECT_TRUE(m_coordinator.groupStates().empty());
}

TEST_F(coordinated_group, startsNothingWithoutTheLease)
{
    m_term.value = 0;
    EXPECT_FALSE(runUntil([this] { return !m_engines.sent.empty(); }, 500ms));
}

TEST_F(coordinated_group, ignoresAHoldInAnOutdatedReport)
{
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        endpoint->longestGapMs = 40;
    }
    m_engines.map = 5; // A map that was planned before.
    m_engines.reportedHold = 8; // The group is at step 10 already, so the hold is over.
    m_engines.reportedPrepared = 5;
    EXPECT_FALSE(runUntil([this] { return !m_engines.sent.empty(); }, 2500ms));
}

TEST_F(coordinated_group, isReleasedAfterAnAbandonedSwitch)
{
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        endpoint->longestGapMs = 40;
    }
    m_engines.map = 4; // A map that was planned before.
    m_engines.reportedHold = 11;
    m_engines.reportedPrepared = 5;
    ASSERT_TRUE(runUntil([this] { return m_engines.count(rank_command_kind::release) > 0; }));
    EXPECT_EQ(m_engines.count(rank_command_kind::arm), ranks);
    for (const rank_command &order : m_engines.sent) {
        EXPECT_EQ(order.step, 11);
    }
}

} // namespace

} // namespace bronzechute
