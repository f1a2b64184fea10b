#include "decisions/bench.h"
#include "support/steering_model.h"

namespace cranberryshed::bench {

namespace {

    constexpr double cap = 0.1; // a minute
    constexpr int seconds = 2400;
    constexpr int contractEnd = 2100; // s after the start

    struct Result {
        double largestMinute = 0; // largest share of the service's traffic moved within a minute
        double finished = -1; // s before the contract end at which no new work goes to the batch; -1: never
        double worstLoad = 0; // of the remaining servers, as a share of their warm slots
    };

    struct Case {
        std::string name;
        int noticeSeconds; // between the declaration and the contract end
        int coldAt; // when the replacement appears; -1: it is warm from the start
        bool faults; // restarts, lost ticks, and declarations that arrive up to 30 s apart
    };

    double largestMinute(const std::vector<double>& history)
    {
        double largest = 0;
        for (std::size_t i = 0; i < history.size(); ++i) {
            for (std::size_t j = i; j < std::min(history.size(), i + 61); ++j)
                largest = std::max(largest, std::abs(history[i] - history[j]));
        }
        return largest;
    }

    // Batch "old" has two thirds of the servers. Its replacement has as many, of which the model starts with half.
    testing::SteeringModel makeModel(const testing::ModelConfig& config, const std::string& service, const Case& scenario, std::uint64_t seed)
    {
        testing::SteeringModel model(config, {}, seed);
        for (std::size_t region = 0; region < 3; ++region)
            model.setDemandSlots(service, region, 0.5 * model.slots(service, region));
        if (scenario.coldAt < 0) {
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

    // Traffic share of the batch if each server of the service gets traffic in proportion to its slots and warmth.
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

    Result run(const testing::ModelConfig& config, const std::string& service, const Case& scenario, bool naive, std::uint64_t seed)
    {
        testing::SteeringModel model = makeModel(config, service, scenario, seed);
        core::RandomEngine random(seed);
        const core::WallTime end = model.wallTime + std::chrono::seconds(contractEnd);
        const core::WallTime declared = end - std::chrono::seconds(scenario.noticeSeconds);
        std::vector<int> learned;
        for (std::size_t i = 0; i < model.memberCount(); ++i)
            learned.push_back(scenario.faults ? static_cast<int>(random() % 30) : 0);
        model.adjustInputs = [&](std::size_t member, control::ControlInputs& inputs) {
            auto copy = std::make_shared<core::Declarations>(*inputs.declarations);
            const bool known = inputs.wallTime >= declared + std::chrono::seconds(learned[member]);
            copy->batches = { { .name = "old", .service = service, .contractEnd = known ? end : core::WallTime {}, .replacement = {}, .declaredAt = declared } };
            copy->revision = known ? 2 : 1;
            inputs.declarations = copy;
        };
        Result result;
        std::vector<double> history;
        std::vector<double> warm;
        for (int second = 0; second < seconds; ++second) {
            if (second == scenario.coldAt) {
                const std::vector<core::ServerListing> present = model.list.servers;
                for (core::ServerListing server : present) {
                    server.name += "-new";
                    server.batch = "new";
                    model.list.servers.push_back(std::move(server));
                }
                ++model.list.version;
            }
            if (scenario.faults && random() % 200 == 0)
                model.restart(random() % model.memberCount());
            model.step();
            double share = 0;
            double remaining = 0;
            for (std::size_t i = 0; i < model.memberCount(); ++i) {
                const core::SteeringTable& table = *model.published(i).table;
                share += trafficShare(table, service) / static_cast<double>(model.memberCount());
                double slots = 0;
                for (const core::ServerEntry& server : table.servers) {
                    if (server.service == service && server.state != core::ServerState::Leaving)
                        slots += server.slots * server.warmth;
                }
                remaining += slots / static_cast<double>(model.memberCount());
            }
            double need = 0;
            for (std::size_t region = 0; region < 3; ++region)
                need += model.demandSlots(service, region);
            const bool naiveDone = second >= contractEnd - 180;
            if (naive && history.empty())
                warm.push_back(share);
            history.push_back(naive ? (naiveDone ? 0 : warm.front()) : share);
            result.worstLoad = std::max(result.worstLoad, need / std::max(remaining, 1e-9));
            if (history.back() == 0 && result.finished < 0)
                result.finished = contractEnd - second;
        }
        result.largestMinute = largestMinute(history);
        return result;
    }

}

void drain(Report& report, std::uint64_t seed)
{
    const std::vector<Case> cases = {
        { "30 min notice", 1800, -1, false },
        { "30 min notice, faults", 1800, -1, true },
        { "10 min notice", 600, -1, false },
        { "replacement cold at 20 min before", 1800, contractEnd - 1200, false },
    };
    const std::vector<std::pair<testing::ModelConfig, std::string>> sizes = { { testing::foundry(), "ledger" }, { testing::schools(), "repo-core" } };
    for (const auto& [config, service] : sizes) {
        for (const Case& scenario : cases) {
            for (const bool naive : { false, true }) {
                const Result result = run(config, service, scenario, naive, seed);
                CaseResult caseResult { .benchmark = "drain", .name = config.name + ", " + scenario.name + (naive ? ", immediate" : ", ours"), .metrics = { { "largest_minute", result.largestMinute }, { "finished_s_before_end", result.finished } }, .target = {} };
                if (!naive) {
                    caseResult.metrics.push_back({ "worst_load", result.worstLoad });
                    caseResult.target = "largest_minute <= 0.1, finished 60 s before";
                    caseResult.isMet = result.largestMinute <= cap && result.finished >= 60;
                }
                report.add(caseResult);
            }
        }
    }
}

}
