#pragma once

#include "fleet_soak.h"

#include <catch2/catch.hpp>
#include <future>

namespace cranberryshed::test {

// Runs soaks two at a time, and prints what is needed to trace a broken promise.
inline void checkSoaks(const std::vector<SoakOptions>& runs)
{
    constexpr std::size_t runsAtOnce = 2;
    for (std::size_t first = 0; first < runs.size(); first += runsAtOnce) {
        const std::size_t end = std::min(first + runsAtOnce, runs.size());
        std::vector<std::unique_ptr<FleetSoak>> soaks;
        std::vector<std::future<std::vector<std::string>>> results;
        results.reserve(runsAtOnce);
        for (std::size_t i = first; i < end; ++i)
            soaks.push_back(std::make_unique<FleetSoak>(runs[i]));
        std::this_thread::sleep_for(FleetSoak::joinTime);
        for (const auto& soak : soaks)
            results.push_back(std::async(std::launch::async, [&soak] { return soak->run(); }));
        for (std::size_t i = first; i < end; ++i) {
            const std::vector<std::string> broken = results[i - first].get();
            if (!broken.empty())
                soaks[i - first]->print(broken);
            INFO("seed " << runs[i].seed << ", " << soaks[i - first]->probeCount() << " requests");
            CHECK(broken.empty());
            CHECK(soaks[i - first]->probeCount() > 500);
        }
    }
}

}
