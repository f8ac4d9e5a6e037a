#include "gateway/endpoint_table.h"
#include "gateway/load_report.h"

#include <gtest/gtest.h>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start(1h);

class grouped_endpoints : public testing::Test
{
protected:
    grouped_endpoints()
    {
        for (const char *id : {"a", "b", "alone"}) {
            endpoint_record record;
            record.id = id;
            record.service = "models";
            record.dataCentre = "here";
            m_table.update(record);
        }
    }

    bool usable(const std::string &id, time_point now) const
    {
        return m_table.viewOf(*m_table.all().at(id), {}, now).usable;
    }

    endpoint_table m_table {"here"};
};

TEST_F(grouped_endpoints, getNothingWhileTheirGroupIsClosed)
{
    m_table.setGroups({{"g", false, {"a", "b"}}}, start);
    EXPECT_FALSE(usable("a", start + 1s));
    EXPECT_FALSE(usable("b", start + 1s));
    EXPECT_TRUE(usable("alone", start + 1s));
    m_table.setGroups({{"g", true, {"a", "b"}}}, start + 1s);
    EXPECT_TRUE(usable("a", start + 1s));
}

TEST_F(grouped_endpoints, areTriedAgainWhenNothingIsHeardOfTheirGroup)
{
    m_table.setGroups({{"g", false, {"a", "b", "alone"}}}, start);
    EXPECT_FALSE(m_table.anyUsable("models", start + 1s));
    EXPECT_TRUE(m_table.anyUsable("models", start + 2s));
    EXPECT_TRUE(usable("a", start + 2s));
}

TEST(load_report, keepsItsContentOnTheWire)
{
    load_report report;
    report.node = "gateway-1";
    report.incarnation = 7;
    report.sequence = 9;
    report.coordinates = true;
    report.peers = {"10.0.0.1"};
    report.running = {{"a", 3}};
    report.groups = {{"models/g", false, {"a", "b"}}, {"models/h", true, {}}};
    EXPECT_EQ(decodeLoadReport(encodeLoadReport(report)), report);
}

TEST(load_report, isNotReadFromOtherBytes)
{
    EXPECT_EQ(decodeLoadReport("not a report"), std::nullopt);
    EXPECT_EQ(decodeLoadReport(""), std::nullopt);
}

} // namespace

} // namespace bronzechute
