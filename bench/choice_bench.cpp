#include "policy/load_aware_chooser.h"
#include "policy/name_hash.h"

#include <benchmark/benchmark.h>

#include <string>

namespace bronzechute {
namespace {

/** One choice among as many endpoints as the range says; with a prefix when the second range is 1. */
void chooseEndpoint(benchmark::State &state)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(state.range(0)));
    for (int each = 0; each < state.range(0); ++each) {
        names.push_back("endpoint-" + std::to_string(each) + ".se-south-a");
    }
    std::mt19937_64 random(1);
    std::vector<endpoint_candidate> candidates;
    candidates.reserve(names.size());
    for (const std::string &name : names) {
        endpoint_candidate candidate;
        candidate.name = name;
        candidate.dataCentre = random() % 3 == 0 ? "se-south-b" : "se-south-a";
        candidate.nameHash = hashName(name);
        candidate.state = serving_state::serving;
        candidate.limit = 32;
        candidate.inFlight = static_cast<int>(random() % 32);
        candidate.meanServiceMs = 900 + static_cast<double>(random() % 200);
        candidates.push_back(candidate);
    }
    const std::vector<std::uint64_t> chain {42, 43};
    const std::vector<std::string_view> tried {names.front()};
    choice_request request {.localDataCentre = "se-south-a", .prefixChain = {}, .priority = 5, .tried = tried};
    if (state.range(1) == 1) {
        request.prefixChain = chain;
    }
    load_aware_chooser chooser;
    for (auto step : state) {
        (void)step;
        benchmark::DoNotOptimize(chooser.choose(candidates, request, random));
    }
}

BENCHMARK(chooseEndpoint)->ArgNames({"endpoints", "prefix"})->ArgsProduct({{16, 200, 4700}, {0, 1}});

} // namespace
} // namespace bronzechute

BENCHMARK_MAIN();
