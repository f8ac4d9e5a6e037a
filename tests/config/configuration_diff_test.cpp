#include "config/configuration_diff.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

struct diff_row
{
    const char *name; ///< The failure that the row guards against.
    configuration before;
    configuration after;
    std::vector<std::string> lines;
};

class configuration_difference : public testing::TestWithParam<diff_row>
{
};

TEST_P(configuration_difference, listsChanges)
{
    EXPECT_EQ(toLines(diffConfigurations(GetParam().before, GetParam().after)), GetParam().lines);
}

configuration withEndpoints(std::vector<endpoint_override> endpoints)
{
    configuration content;
    content.endpoints = std::move(endpoints);
    return content;
}

configuration withClasses(const std::vector<std::string> &names)
{
    configuration content;
    for (const std::string &name : names) {
        traffic_class each;
        each.name = name;
        content.classes.push_back(each);
    }
    return content;
}

const std::string classA = R"({"deadline_ms":60000,"first_token_ms":0,"match":{},"name":"a","pools":"","priority":5,)"
                           R"("resume_elsewhere":false})";

INSTANTIATE_TEST_SUITE_P(
    rows, configuration_difference,
    testing::Values(diff_row {"equal_documents_differ", withClasses({"a"}), withClasses({"a"}), {}},
                    diff_row {"label_changes_merged",
                              withEndpoints({{"e", {{"x", "1"}, {"y", "1"}}, false}}),
                              withEndpoints({{"e", {{"x", "2"}, {"z", "1"}}, true}}),
                              {"endpoints[e].drained: false -> true", "endpoints[e].labels.x: \"1\" -> \"2\"",
                               "endpoints[e].labels.y: removed \"1\"", "endpoints[e].labels.z: added \"1\""}},
                    diff_row {"order_of_endpoints_reported",
                              withEndpoints({{"e", {}, false}, {"f", {}, false}}),
                              withEndpoints({{"f", {}, false}, {"e", {}, false}}),
                              {}},
                    diff_row {"appended_class_reported_as_reordering",
                              withClasses({"b"}),
                              withClasses({"b", "a"}),
                              {"classes[a]: added " + classA}},
                    diff_row {"inserted_class_hides_reordering",
                              withClasses({"b"}),
                              withClasses({"a", "b"}),
                              {"classes[a]: added " + classA, "classes: [\"b\"] -> [\"a\",\"b\"]"}},
                    diff_row {"removed_class_reported_as_reordering",
                              withClasses({"a", "b"}),
                              withClasses({"b"}),
                              {"classes[a]: removed " + classA}}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
