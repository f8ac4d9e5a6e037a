#include "gateway/quarantine_record.h"

#include "kv_platform_store.h"
#include "quarantine/part_quarantine.h"
#include "standins/eventually.h"
#include "standins/kv_server.h"

#include <gtest/gtest.h>

#include <mutex>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;
using standins::eventually;

const std::string recordKey = "quarantine";
const std::chrono::system_clock::time_point wallClock {500000h};
constexpr time_point now {1000h};

/** One gateway's record and what it has read from the store. */
class kept_record
{
public:
    explicit kept_record(const standins::kv_server &server)
        : m_store("http://127.0.0.1:" + std::to_string(server.port()), 1000ms)
        , m_record(m_store, recordKey, [this](const crash_evidence &kept) {
            const std::scoped_lock lock(m_mutex);
            m_read = kept.quarantined;
        })
    {
    }

    void save(const std::vector<quarantined_part> &entries, const std::map<std::string, time_point> &answers = {})
    {
        m_record.save({{}, answers, entries, {}});
    }

    std::vector<quarantined_part> read()
    {
        const std::scoped_lock lock(m_mutex);
        return m_read;
    }

private:
    std::mutex m_mutex;
    std::vector<quarantined_part> m_read;
    platform::kv_platform_store m_store;
    quarantine_record m_record;
};

class quarantine_records : public testing::Test
{
protected:
    quarantine_records() : m_server(std::move(standins::kv_server::start().value()))
    {
    }

    static quarantined_part entryOf(const std::string &part, int convictions = 1)
    {
        const time_point since = boot_clock::now();
        return {part, since, since + 10min, convictions};
    }

    /** @returns the parts that a gateway reads which starts now. */
    std::vector<std::string> readAtStart(std::size_t expected)
    {
        kept_record started(*m_server);
        eventually([&] { return started.read().size() == expected; }, 2s);
        std::vector<std::string> parts;
        for (const quarantined_part &entry : started.read()) {
            parts.push_back(entry.part);
        }
        std::ranges::sort(parts);
        return parts;
    }

    std::unique_ptr<standins::kv_server> m_server;
};

TEST_F(quarantine_records, outliveAllGateways)
{
    {
        kept_record first(*m_server);
        kept_record second(*m_server);
        first.save({entryOf("bad1")});
        second.save({entryOf("bad1"), entryOf("bad2"), entryOf("suspected", 0)});
        std::this_thread::sleep_for(2500ms);
    }
    EXPECT_EQ(readAtStart(2), (std::vector<std::string> {"bad1", "bad2"}));
}

TEST_F(quarantine_records, areWrittenWhenTheStoreIsBack)
{
    m_server->inject({{"outage", true}});
    kept_record gateway(*m_server);
    gateway.save({entryOf("bad")});
    std::this_thread::sleep_for(1500ms);
    m_server->inject({{"outage", false}});
    EXPECT_TRUE(eventually([this] { return readAtStart(1) == std::vector<std::string> {"bad"}; }, 10s));
}

TEST_F(quarantine_records, loseAPartThatAnAnswerCleared)
{
    kept_record gateway(*m_server);
    const quarantined_part entry = entryOf("bad");
    gateway.save({entry, entryOf("bad2")});
    ASSERT_TRUE(eventually([this] { return readAtStart(2).size() == 2; }, 10s));
    gateway.save({}, {{"bad", entry.since + 1s}});
    EXPECT_TRUE(eventually([this] { return readAtStart(1) == std::vector<std::string> {"bad2"}; }, 10s));
}

TEST_F(quarantine_records, doNotDelayTheEndOfAGatewayWhileTheStoreIsAway)
{
    m_server->inject({{"outage", true}});
    const time_point begin = boot_clock::now();
    {
        kept_record gateway(*m_server);
        gateway.save({entryOf("bad")});
    }
    EXPECT_LT(boot_clock::now() - begin, 2s);
}

TEST(quarantine_record_text, keepsTimesBetweenProcesses)
{
    const std::vector<quarantined_part> entries {{"bad", now - 1min, now + 9min, 2}};
    const std::string text = encodeQuarantineRecord(entries, now, wallClock);
    constexpr time_point laterStart {5h};
    const auto read = decodeQuarantineRecord(text, laterStart, wallClock + 2min);
    ASSERT_EQ(read.size(), 1U);
    EXPECT_EQ(read.front(), (quarantined_part {"bad", laterStart - 3min, laterStart + 7min, 2}));
}

struct text_row
{
    const char *name; ///< Failure that the row guards against.
    const char *text;
};

class other_record_text : public testing::TestWithParam<text_row>
{
};

TEST_P(other_record_text, quarantinesNothing)
{
    EXPECT_TRUE(decodeQuarantineRecord(GetParam().text, now, wallClock).empty());
}

INSTANTIATE_TEST_SUITE_P(
    rows, other_record_text,
    testing::Values(text_row {"no_json_ends_the_process", "\xff not json"}, text_row {"other_type", "7"},
                    text_row {"missing_fields", R"([{"part": "bad"}])"},
                    text_row {"other_field_types",
                              R"([{"part": 7, "since_unix_ms": 1, "until_unix_ms": 2, "convictions": 1}])"},
                    text_row {"expired_part_is_refused",
                              R"([{"part": "bad", "since_unix_ms": 1, "until_unix_ms": 2, "convictions": 1}])"}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(quarantine_record_text, boundsTimesThatMakeNoSense)
{
    const auto read = decodeQuarantineRecord(
        R"([{"part": "bad", "since_unix_ms": 1, "until_unix_ms": 9223372036854775807, "convictions": 1}])", now,
        wallClock);
    ASSERT_EQ(read.size(), 1U);
    EXPECT_LE(read.front().until, now + 2 * part_quarantine::maxDuration);
}

} // namespace

} // namespace bronzechute
