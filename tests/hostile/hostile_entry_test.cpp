#include "caller_crowd.h"
#include "process_usage.h"

#include "standins/http_fetch.h"
#include "standins/local_system.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <sys/socket.h>

namespace bronzechute::standins {

namespace {

// Limits in the settings of the entry under test. The bounds below follow from them.
constexpr std::size_t memoryLimitMb = 64;
constexpr std::size_t descriptorLimit = 600;
constexpr std::size_t bodyLimitBytes = 1024UL * 1024; ///< Default of the settings.
#if defined(__SANITIZE_ADDRESS__)
// The sanitizer keeps freed memory and pads each allocation; its default quarantine alone is 256 MiB.
constexpr std::size_t peakLimitBytes = 3 * memoryLimitMb * 1000 * 1000 + 256UL * 1024 * 1024;
#else
constexpr std::size_t peakLimitBytes = memoryLimitMb * 1000 * 1000;
#endif

struct entry_place
{
    const char *name;
    const char *target;
    const char *fields;
};

struct entry_row
{
    entry_place place;
    crowd_behaviour crowd;
};

std::ostream &operator<<(std::ostream &out, const entry_row &row)
{
    return out << row.crowd.name << " " << row.place.name;
}

class hostile_entry : public testing::TestWithParam<entry_row>
{
public:
    static void SetUpTestSuite()
    {
        limitSanitizerQuarantine();
        system = std::make_unique<local_system>();
        system->startStore();
        system->startService("office-1", "pest");
        entry_links links;
        links.settings = "limits: {memory_mb: " + std::to_string(memoryLimitMb)
            + ", max_descriptors: " + std::to_string(descriptorLimit) + "}\n";
        system->startEntry("entry-1", "buda", links);
        system->apply(local_system::exampleConfiguration());
    }

    static void TearDownTestSuite()
    {
        system.reset();
    }

protected:
    void SetUp() override
    {
        system->restartEntry("entry-1");
        ASSERT_TRUE(system->waitReady("entry-1", 1));
    }

    static pid_t process()
    {
        return system->process("entry-1").pid();
    }

    static std::unique_ptr<local_system> system;
};

std::unique_ptr<local_system> hostile_entry::system;

// Callers that do not behave ended processes of such systems: they ran out of memory or descriptors.
TEST_P(hostile_entry, staysWithinTheLimitsAndIsFollowedByAnOrdinaryAnswer)
{
    caller_crowd crowd(*parseSocketAddress(system->process("entry-1").ready("http")), GetParam().crowd, SOCK_STREAM);
    process_usage most;
    crowd.press([&] {
        const process_usage usage = process_usage::of(process());
        most.peakBytes = std::max(most.peakBytes, usage.peakBytes);
        most.descriptors = std::max(most.descriptors, usage.descriptors);
    });
    RecordProperty("peak_kb", static_cast<int>(most.peakBytes / 1024));
    RecordProperty("descriptors", static_cast<int>(most.descriptors));
    EXPECT_LE(most.peakBytes, peakLimitBytes);
    EXPECT_LE(most.descriptors, descriptorLimit);
    // The crowd is still connected. A refused caller comes back.
    EXPECT_TRUE(eventuallyTrue([] {
        return system->order("entry-1", "envelope", {}, std::chrono::seconds(3)).status / 100 == 2;
    })) << "an ordinary caller is not served";
    EXPECT_EQ(system->process("entry-1").waitForExit(std::chrono::milliseconds(0)), std::nullopt);
}

std::vector<entry_row> entryRows()
{
    constexpr std::array<entry_place, 3> places {{
        {"at_a_service_with_a_key", "/orders", "Host: entry\r\nAuthorization: Bearer example-office-key\r\n"},
        {"at_a_service_without_a_key", "/orders", "Host: entry\r\n"},
        {"at_the_health_page", "/health", "Host: entry\r\n"},
    }};
    std::vector<entry_row> rows;
    for (const entry_place &place : places) {
        for (const crowd_behaviour &behaviour : crowdBehaviours(place.target, place.fields, bodyLimitBytes)) {
            rows.push_back({place, behaviour});
        }
    }
    return rows;
}

INSTANTIATE_TEST_SUITE_P(rows, hostile_entry, testing::ValuesIn(entryRows()),
                         [](const auto &row) { return row.param.crowd.name + "_" + row.param.place.name; });

} // namespace

} // namespace bronzechute::standins
