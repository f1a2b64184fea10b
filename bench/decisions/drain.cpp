#include "decisions/bench.h"
#include "support/steering_model.h"

namespace cranberryshed::bench {

namespace {

    constexpr double maxSharePerMinute = 0.1;
    constexpr int durationSeconds = 2400;
    constexpr int contractEndSecond = 2100; // seconds after the start

    struct DrainResult {
        double largestShiftPerMinute = 0; // largest change of the batch's share of the service's traffic within a minute
        double finishedSecondsBeforeEnd = -1; // seconds before the contract end at which the batch stops getting new requests; -1: never
        double worstLoad = 0; // demand divided by the warm slots of the remaining servers
    };

    struct DrainCase {
        std::string name;
        int noticeSeconds; // from the declaration of the contract end to the contract end
        int coldAtSecond; // when the cold replacement is added; -1: a warm one is there from the start
        bool hasFaults; // restarts, lost ticks, and declarations that arrive at the entry VMs up to 30 s apart
    };

    double largestShiftPerMinute(const std::vector<double>& history)
    {
        double largest = 0;
        for (std::size_t i = 0; i < history.size(); ++i) {
            for (std::size_t j = i; j < std::min(history.size(), i + 61); ++j)
                largest = std::max(largest, std::abs(history[i] - history[j]));
        }
        return largest;
    }

    // Batch "old" has two thirds of the servers. Its replacement has as many servers, half of which the model has from
    // the start.
    testing::SteeringModel makeModel(const testing::ModelConfig& config, const std::string& service, const DrainCase& scenario, std::uint64_t seed)
    {
        testing::SteeringModel model(config, {}, seed);
        for (std::size_t region = 0; region < 3; ++region)
            model.setDemandSlots(service, region, 0.5 * model.slots(service, region));
        if (scenario.coldAtSecond < 0) {
            std::vector<core::ServerListing> more;
            for (core::ServerListing server : model.list.servers) {
                server.name += "-new";
                server.batch = "new";
                more.push_back(std::move(server));
            }
            model.list.servers.insert(model.list.servers.end(), more.begin(), more.end());
        }
        return model;
    }

    // Returns the batch's share of the service's traffic if each server gets traffic in proportion to its slots and
    // warmth.
    double trafficShare(const core::SteeringTable& table, const std::string& service)
    {
        double batch = 0;
        double all = 0;
        for (const core::ServerEntry& server : table.servers) {
            if (server.service != service || server.state == core::ServerState::Leaving)
                continue;
            all += server.slots * server.warmth;
            batch += server.batch == "old" ? server.slots * server.warmth : 0;
        }
        return all > 0 ? batch / all : 0;
    }

    DrainResult run(const testing::ModelConfig& config, const std::string& service, const DrainCase& scenario, bool naive, std::uint64_t seed)
    {
        testing::SteeringModel model = makeModel(config, service, scenario, seed);
        core::RandomEngine random(seed);
        const core::WallTime end = model.wallTime + std::chrono::seconds(contractEndSecond);
        const core::WallTime declared = end - std::chrono::seconds(scenario.noticeSeconds);
        std::vector<int> learnDelaySeconds;
        for (std::size_t i = 0; i < model.memberCount(); ++i)
            learnDelaySeconds.push_back(scenario.hasFaults ? static_cast<int>(random() % 30) : 0);
        model.adjustInputs = [&](std::size_t member, control::ControlInputs& inputs) {
            auto copy = std::make_shared<core::Declarations>(*inputs.declarations);
            const bool isKnown = inputs.wallTime >= declared + std::chrono::seconds(learnDelaySeconds[member]);
            copy->batches = { { .name = "old", .service = service, .contractEnd = isKnown ? end : core::WallTime {}, .replacement = {}, .declaredAt = declared } };
            copy->revision = isKnown ? 2 : 1;
            inputs.declarations = copy;
        };
        DrainResult result;
        std::vector<double> history;
        std::vector<double> initialShares;
        for (int second = 0; second < durationSeconds; ++second) {
            if (second == scenario.coldAtSecond) {
                const std::vector<core::ServerListing> present = model.list.servers;
                for (core::ServerListing server : present) {
                    server.name += "-new";
                    server.batch = "new";
                    model.list.servers.push_back(std::move(server));
                }
                ++model.list.version;
            }
            if (scenario.hasFaults && random() % 200 == 0)
                model.restart(random() % model.memberCount());
            model.step();
            double share = 0;
            double remainingSlots = 0;
            for (std::size_t i = 0; i < model.memberCount(); ++i) {
                const core::SteeringTable& table = *model.published(i).table;
                share += trafficShare(table, service) / static_cast<double>(model.memberCount());
                double slots = 0;
                for (const core::ServerEntry& server : table.servers) {
                    if (server.service == service && server.state != core::ServerState::Leaving)
                        slots += server.slots * server.warmth;
                }
                remainingSlots += slots / static_cast<double>(model.memberCount());
            }
            double demandSlots = 0;
            for (std::size_t region = 0; region < 3; ++region)
                demandSlots += model.demandSlots(service, region);
            const bool isNaiveDone = second >= contractEndSecond - 180;
            if (naive && history.empty())
                initialShares.push_back(share);
            history.push_back(naive ? (isNaiveDone ? 0 : initialShares.front()) : share);
            result.worstLoad = std::max(result.worstLoad, demandSlots / std::max(remainingSlots, 1e-9));
            if (history.back() == 0 && result.finishedSecondsBeforeEnd < 0)
                result.finishedSecondsBeforeEnd = contractEndSecond - second;
        }
        result.largestShiftPerMinute = largestShiftPerMinute(history);
        return result;
    }

}

void drain(Report& report, std::uint64_t seed)
{
    const std::vector<DrainCase> cases = {
        { "30 min notice", 1800, -1, false },
        { "30 min notice, faults", 1800, -1, true },
        { "10 min notice", 600, -1, false },
        { "replacement cold at 20 min before", 1800, contractEndSecond - 1200, false },
    };
    const std::vector<std::pair<testing::ModelConfig, std::string>> sizes = { { testing::foundry(), "ledger" }, { testing::schools(), "repo-core" } };
    for (const auto& [config, service] : sizes) {
        for (const DrainCase& scenario : cases) {
            for (const bool naive : { false, true }) {
                const DrainResult result = run(config, service, scenario, naive, seed);
                CaseResult caseResult { .benchmark = "drain", .name = config.name + ", " + scenario.name + (naive ? ", immediate" : ", ours"), .metrics = { { "largest_minute", result.largestShiftPerMinute }, { "finished_s_before_end", result.finishedSecondsBeforeEnd } }, .target = {} };
                if (!naive) {
                    caseResult.metrics.push_back({ "worst_load", result.worstLoad });
                    caseResult.target = "largest_minute <= 0.1, finished 60 s before";
                    caseResult.isMet = result.largestShiftPerMinute <= maxSharePerMinute && result.finishedSecondsBeforeEnd >= 60;
                }
                report.add(caseResult);
            }
        }
    }
}

}
