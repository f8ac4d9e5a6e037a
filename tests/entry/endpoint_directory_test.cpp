#include "entry/endpoint_directory.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

// Guards against an entry that dials replaced VMs for ever.
TEST(endpoint_directory, namesTheEndpointsThatAreGoneForLong)
{
    const configuration_holder configuration;
    endpoint_directory directory({}, configuration);
    const time_point start = boot_clock::now();
    const std::vector<listed_vm> both {{"old", "127.0.0.1:1", false}, {"new", "127.0.0.1:2", false}};
    const std::vector<listed_vm> one {{"new", "127.0.0.1:2", false}};
    EXPECT_TRUE(directory.onVmList(both, start).empty());
    EXPECT_TRUE(directory.onVmList(one, start + std::chrono::minutes(5)).empty());
    EXPECT_EQ(directory.onVmList(one, start + std::chrono::minutes(11)), std::vector<std::string> {"old"});
    ASSERT_EQ(directory.known().size(), 1U);
    EXPECT_EQ(directory.known()[0].name, "new");
}

} // namespace
} // namespace bronzechute
