#include "app/dev_fleet.h"
#include "app/load_generator.h"
#include "app/request_mix.h"
#include "app/subcommands.h"
#include "core/errors.h"

#include <fmt/format.h>
#include <future>
#include <iostream>

namespace cranberryshed::app {

namespace po = boost::program_options;
namespace json = boost::json;

namespace {

    constexpr std::uint64_t requestsPerUser = 600; // that `dev --once` sends
    constexpr std::uint32_t maxConcurrentRequestsPerUser = 6;
    constexpr core::Duration maxReadyTime = std::chrono::seconds(10);

    using Fleets = std::vector<std::unique_ptr<DevFleet>>;

    DevFleet::Options fleetOptions(const DevUser& user, const po::variables_map& values)
    {
        const std::string& chooser = values["chooser"].as<std::string>();
        const std::optional<request::ChooserKind> kind = core::parseName<request::ChooserKind>(chooser);
        if (!kind)
            throw core::Error(core::ErrorKind::BadUsage, "--chooser " + chooser + ": allowed are " + core::joinedNames<request::ChooserKind>());
        return {
            .user = user,
            .examplesFolder = values["examples"].as<std::string>(),
            .serversPerService = values["servers"].as<std::uint32_t>(),
            .seed = values["seed"].as<std::uint64_t>(),
            .chooser = *kind,
            .slowServerShare = values["slow-share"].as<double>(),
            .slowdown = values["slowdown"].as<double>(),
            .slowPeriod = std::chrono::milliseconds(values["slow-ms"].as<std::uint32_t>()),
        };
    }

    Fleets startFleets(const po::variables_map& values)
    {
        Fleets fleets;
        for (const DevUser& user : devUsers()) {
            fleets.push_back(std::make_unique<DevFleet>(fleetOptions(user, values)));
            fleets.back()->start();
        }
        return fleets;
    }

    std::vector<std::string> callerAddresses(const DevFleet& fleet)
    {
        std::vector<std::string> addresses;
        for (const auto& vm : fleet.entryVms())
            addresses.push_back(vm->callerAddress());
        return addresses;
    }

    json::object describeFleet(const DevFleet& fleet)
    {
        json::array vms;
        for (const auto& vm : fleet.entryVms())
            vms.push_back(json::object { { "name", vm->name() }, { "callers", vm->callerAddress() }, { "admin", vm->adminAddress() }, { "peers", vm->peerAddress() } });
        json::array servers;
        for (const auto& server : fleet.servers())
            servers.push_back(json::object { { "name", server->name() }, { "address", server->address() } });
        return { { "user", fleet.name() }, { "store", fleet.storeAddress() }, { "entryVms", std::move(vms) }, { "servers", std::move(servers) } };
    }

    // Waits until the look-ups of every class succeed on every entry VM. Returns false after maxReadyTime.
    bool waitUntilReady(const DevFleet& fleet, const std::vector<RequestTemplate>& mix)
    {
        wire::asio::io_context context(1);
        bool ready = false;
        const auto check = [&]() -> wire::Task<void> {
            const core::TimePoint end = std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now()) + maxReadyTime;
            Caller caller(context, { .lookupAddresses = callerAddresses(fleet) });
            wire::Timer timer(context.get_executor());
            while (!ready && std::chrono::steady_clock::now() < end) {
                bool all = true;
                for (std::size_t i = 0; all && i < mix.size() * fleet.entryVms().size(); ++i)
                    all = co_await caller.lookup(mix[i / fleet.entryVms().size()].className);
                ready = all;
                timer.expires_after(std::chrono::milliseconds(50));
                co_await timer.async_wait(wire::useResult);
            }
        };
        wire::asio::co_spawn(context, check(), wire::asio::detached);
        context.run();
        return ready;
    }

    // Whether every request got its own complete answer, and none was run more than once.
    bool passed(const LoadResult& result, const DevFleet& fleet)
    {
        std::uint64_t answered = 0;
        std::uint64_t mismatches = 0;
        for (const auto& [name, counts] : result.classes) {
            answered += counts.answered;
            mismatches += counts.mismatches;
        }
        return answered == requestsPerUser && mismatches == 0 && fleet.runs().duplicateCount() == 0;
    }

    bool runOnce(const DevFleet& fleet, const po::variables_map& values, admin::OutputFormat format, json::array& report)
    {
        const std::vector<RequestTemplate> mix = requestMix(values["examples"].as<std::string>() + '/' + fleet.name());
        if (!waitUntilReady(fleet, mix)) {
            std::cerr << fleet.name() << ": the entry VMs did not become ready in time\n";
            return false;
        }
        LoadOptions load;
        load.caller.lookupAddresses = callerAddresses(fleet);
        load.mix = mix;
        load.maxConcurrentRequests = maxConcurrentRequestsPerUser;
        load.maxRequests = requestsPerUser;
        load.seed = values["seed"].as<std::uint64_t>();
        const LoadResult result = runLoad(load);
        const bool hasPassed = passed(result, fleet);
        if (format == admin::OutputFormat::Json) {
            json::object entry = loadJson(result);
            entry["user"] = fleet.name();
            entry["workRunTwice"] = fleet.runs().duplicateCount();
            entry["passed"] = hasPassed;
            report.push_back(std::move(entry));
        } else
            std::cout << fleet.name() << '\n'
                      << loadTable(result) << "requests run more than once: " << fleet.runs().duplicateCount() << (hasPassed ? "\npassed\n\n" : "\nFAILED\n\n");
        return hasPassed;
    }

    int runOnce(const Fleets& fleets, const po::variables_map& values, admin::OutputFormat format)
    {
        bool hasPassed = true;
        json::array report;
        for (const auto& fleet : fleets)
            hasPassed = runOnce(*fleet, values, format, report) && hasPassed;
        if (format == admin::OutputFormat::Json)
            std::cout << json::serialize(report) << '\n';
        return hasPassed ? 0 : 1;
    }

    void printAddresses(const Fleets& fleets, admin::OutputFormat format)
    {
        json::array list;
        for (const auto& fleet : fleets)
            list.push_back(describeFleet(*fleet));
        if (format == admin::OutputFormat::Json) {
            std::cout << json::serialize(list) << std::endl;
            return;
        }
        for (const auto& fleet : fleets) {
            std::cout << fleet->name() << "\n  store    " << fleet->storeAddress() << '\n';
            for (const auto& vm : fleet->entryVms())
                std::cout << "  " << vm->name() << "  callers " << vm->callerAddress() << "  admin " << vm->adminAddress() << '\n';
        }
        const EntryVm& first = *fleets.front()->entryVms().front();
        std::cout << "\ntry:\n  curl 'http://" << first.callerAddress() << "/v1/entry?class=stock-lookup'\n"
                  << "  curl -i 'http://" << first.callerAddress() << "/stock/bell-7' -H 'X-Work-Bytes: 100'\n"
                  << "  cranberryshed dump " << first.adminAddress() << "\n  curl 'http://" << fleets.front()->storeAddress() << "/control' -d '{\"returnAfterMs\":5000}'   the store comes back from a copy"
                  << "\nstop with Ctrl-C" << std::endl;
    }

    void waitForSignal()
    {
        wire::asio::io_context context(1);
        wire::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([](wire::error_code, int) {});
        context.run();
    }

}

int devCommand(const Arguments& arguments)
{
    po::options_description options("options");
    options.add_options()("once", "send a mixed load for both users, print the results and exit")(
        "examples", po::value<std::string>()->default_value("examples"), "folder with the users' declarations")(
        "seed", po::value<std::uint64_t>()->default_value(1), "seed of all random decisions")(
        "servers", po::value<std::uint32_t>()->default_value(4), "number of backend servers per service")(
        "chooser", po::value<std::string>()->default_value("home-subset"), "how the entry VMs choose backend servers; see docs/reference.md")(
        "slow-share", po::value<double>()->default_value(0), "share of the servers that are slow at any time")(
        "slowdown", po::value<double>()->default_value(10), "factor on the service time of a slow server")(
        "slow-ms", po::value<std::uint32_t>()->default_value(3000), "time in milliseconds after which other servers are slow")("verbose", "log more");
    addOutputOption(options);
    const std::optional<po::variables_map> values = parseArguments("dev", "Runs both users' example systems in one process.", options, arguments);
    if (!values)
        return 0;
    const admin::OutputFormat format = outputForm(*values);
    spdlog::set_level(values->contains("verbose") ? spdlog::level::info : spdlog::level::warn);
    const Fleets fleets = startFleets(*values);
    if (values->contains("once"))
        return runOnce(fleets, *values, format);
    printAddresses(fleets, format);
    waitForSignal();
    return 0;
}

}
