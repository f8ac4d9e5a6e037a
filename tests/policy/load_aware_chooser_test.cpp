#include "policy/load_aware_chooser.h"
#include "policy/name_hash.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>

namespace bronzechute {
namespace {

using std::chrono::milliseconds;

endpoint_candidate idle(std::string_view name)
{
    endpoint_candidate candidate;
    candidate.name = name;
    candidate.dataCentre = "buda";
    candidate.nameHash = hashName(name);
    candidate.state = serving_state::serving;
    candidate.limit = 10;
    return candidate;
}

struct choice_row
{
    const char *name; ///< The failure that the row guards against.
    std::function<void(endpoint_candidate &a, endpoint_candidate &b)> prepare; ///< Two idle endpoints to change.
    std::set<std::string> expected; ///< All endpoints that 200 selections must yield; "" stands for none.
};

class load_aware_choice : public testing::TestWithParam<choice_row>
{
};

TEST_P(load_aware_choice, selectsOnly)
{
    std::vector<endpoint_candidate> candidates {idle("a"), idle("b")};
    GetParam().prepare(candidates[0], candidates[1]);
    const std::vector<std::string_view> tried {"tried"};
    const choice_request request {.localDataCentre = "buda", .prefixChain = {}, .priority = 5, .tried = tried};
    load_aware_chooser chooser({.entries = 4, .samples = 16});
    std::mt19937_64 random(1);
    std::set<std::string> selected;
    for (int choice = 0; choice < 200; ++choice) {
        const auto index = chooser.choose(candidates, request, random);
        selected.insert(index ? std::string(candidates[*index].name) : "");
    }
    EXPECT_EQ(selected, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    rows, load_aware_choice,
    testing::Values(choice_row {"one_of_two_equals_never_used", [](auto &, auto &) {}, {"a", "b"}},
                    choice_row {"leaving_selected", [](auto &a, auto &) { a.state = serving_state::leaving; }, {"b"}},
                    choice_row {"starting_selected", [](auto &a, auto &) { a.state = serving_state::starting; }, {"b"}},
                    choice_row {"silent_selected", [](auto &a, auto &) { a.statusAge = milliseconds(2001); }, {"b"}},
                    choice_row {"tried_selected_again", [](auto &a, auto &) { a.name = "tried"; }, {"b"}},
                    choice_row {"ejected_selected", [](auto &a, auto &) { a.ejected = true; }, {"b"}},
                    choice_row {"probe_never_sent", [](auto &a, auto &) { a.ejected = a.probeAllowed = true; }, {"a"}},
                    choice_row {"full_cold_used_as_overflow",
                                [](auto &a, auto &b) {
                                    a.cold = true;
                                    a.limit = a.inFlight = 1;
                                    b.inFlight = 100;
                                },
                                {"b"}},
                    choice_row {"burst_refused_while_all_are_cold",
                                [](auto &a, auto &b) {
                                    a.cold = b.cold = true;
                                    a.limit = b.limit = a.inFlight = b.inFlight = 1;
                                    a.queued = 1;
                                },
                                {"b"}},
                    choice_row {"own_requests_since_status_ignored_on_cold",
                                [](auto &a, auto &) {
                                    a.cold = true;
                                    a.limit = 1;
                                    a.ownInFlight = 1;
                                },
                                {"b"}},
                    choice_row {"slow_as_good_as_fast",
                                [](auto &a, auto &b) {
                                    a.meanServiceMs = 4000;
                                    b.meanServiceMs = 1000;
                                    a.inFlight = b.inFlight = 4;
                                },
                                {"b"}},
                    choice_row {"answers_of_other_length_taken_for_slowness",
                                [](auto &a, auto &b) {
                                    a.meanServiceMs = 1250;
                                    b.meanServiceMs = 1000;
                                    a.inFlight = b.inFlight = 4;
                                },
                                {"a", "b"}},
                    choice_row {"higher_limit_attracts_more_than_equal_load",
                                [](auto &a, auto &b) {
                                    a.limit = 40;
                                    a.inFlight = 6;
                                    b.inFlight = 5;
                                },
                                {"b"}},
                    choice_row {"queue_behind_limit_ignored",
                                [](auto &a, auto &b) {
                                    a.limit = 2;
                                    a.inFlight = 2;
                                    a.queued = 2;
                                    b.limit = 40;
                                    b.inFlight = 5;
                                },
                                {"b"}},
                    choice_row {"requests_of_other_entries_since_status_ignored",
                                [](auto &a, auto &b) {
                                    a.ownInFlight = 2;
                                    b.inFlight = 5;
                                },
                                {"b"}},
                    choice_row {"remote_as_good_as_local", [](auto &a, auto &) { a.dataCentre = "pest"; }, {"b"}},
                    choice_row {"remote_never_used",
                                [](auto &a, auto &b) {
                                    a.dataCentre = "pest";
                                    b.inFlight = 9;
                                },
                                {"a"}},
                    choice_row {
                        "nothing_left_not_reported", [](auto &a, auto &b) { a.ejected = b.ejected = true; }, {""}}),
    [](const auto &row) { return std::string(row.param.name); });

std::vector<endpoint_candidate> pool(std::span<const std::string> names)
{
    std::vector<endpoint_candidate> candidates;
    candidates.reserve(names.size());
    for (const std::string &name : names) {
        candidates.push_back(idle(name));
    }
    return candidates;
}

std::vector<std::string> names(int count)
{
    std::vector<std::string> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int each = 0; each < count; ++each) {
        result.push_back("endpoint-" + std::to_string(each));
    }
    return result;
}

// Guards against entries that scatter one prefix over the pool although they have no shared state.
TEST(load_aware_affinity, entriesAgreeOnAPrefix)
{
    const auto all = names(8);
    const auto candidates = pool(all);
    const std::vector<std::uint64_t> chain {42};
    const choice_request request {.localDataCentre = "buda", .prefixChain = chain, .tried = {}};
    std::set<std::size_t> selected;
    for (std::uint64_t entry = 0; entry < 4; ++entry) {
        load_aware_chooser chooser;
        std::mt19937_64 random(entry);
        selected.insert(chooser.choose(candidates, request, random).value());
    }
    EXPECT_EQ(selected.size(), 1U);
}

// Guards against a hot prefix that overloads the endpoint that caches it.
TEST(load_aware_affinity, hotPrefixSpreadsWhenItsEndpointIsLoaded)
{
    const auto all = names(8);
    auto candidates = pool(all);
    const std::vector<std::uint64_t> chain {42};
    const choice_request request {.localDataCentre = "buda", .prefixChain = chain, .tried = {}};
    load_aware_chooser chooser({.entries = 1});
    std::mt19937_64 random(1);
    for (int sent = 0; sent < 40; ++sent) {
        const std::size_t index = chooser.choose(candidates, request, random).value();
        ++candidates[index].ownInFlight;
        candidates[index].affinity = 1;
    }
    for (const endpoint_candidate &each : candidates) {
        EXPECT_LE(each.ownInFlight, 8) << each.name;
    }
}

// Guards against queueing at the endpoint that caches a prefix while others are idle.
TEST(load_aware_affinity, doesNotQueueForAPrefixWhileThePoolHasRoom)
{
    const auto all = names(8);
    auto candidates = pool(all);
    candidates[0].affinity = 1;
    candidates[0].limit = 1;
    candidates[0].inFlight = 1;
    const std::vector<std::uint64_t> chain {42};
    const choice_request request {.localDataCentre = "buda", .prefixChain = chain, .tried = {}};
    load_aware_chooser chooser({.affinityBound = 100});
    std::mt19937_64 random(1);
    EXPECT_NE(chooser.choose(candidates, request, random), 0U);
}

struct popularity_row
{
    const char *name; ///< The failure that the row guards against.
    int hotChoices; ///< Requests with the chain {42} before the last one.
    int otherChoices; ///< Further requests, each with a different chain.
    std::vector<std::uint64_t> chain; ///< Chain of the last request.
    bool staysAtCachingEndpoint; ///< Whether the last one goes to the loaded endpoint that caches its prefix.
};

class prefix_popularity_choice : public testing::TestWithParam<popularity_row>
{
};

TEST_P(prefix_popularity_choice, selectsCachingEndpoint)
{
    const auto all = names(8);
    auto candidates = pool(all);
    candidates[0].affinity = 1;
    for (endpoint_candidate &each : candidates) {
        each.inFlight = 4;
    }
    candidates[0].inFlight = 5; // Within the affinity bound.
    load_aware_chooser chooser;
    std::mt19937_64 random(1);
    const auto choose = [&](const std::vector<std::uint64_t> &chain) {
        return chooser.choose(candidates, {.localDataCentre = "buda", .prefixChain = chain, .tried = {}}, random);
    };
    for (int sent = 0; sent < GetParam().hotChoices; ++sent) {
        choose({42});
    }
    for (int sent = 0; sent < GetParam().otherChoices; ++sent) {
        choose({1000 + static_cast<std::uint64_t>(sent)});
    }
    EXPECT_EQ(choose(GetParam().chain) == 0U, GetParam().staysAtCachingEndpoint);
}

INSTANTIATE_TEST_SUITE_P(
    rows, prefix_popularity_choice,
    testing::Values(popularity_row {"hot_prefix_waits_at_its_holder", 300, 0, {42}, false},
                    popularity_row {"rare_prefix_scattered_beside_a_hot_one", 300, 0, {7}, true},
                    popularity_row {"conversation_scattered_for_its_shared_first_block", 300, 0, {42, 7}, true},
                    popularity_row {"former_hot_prefix_stays_scattered", 300, 1000, {42}, true}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
