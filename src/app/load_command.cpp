#include "app/load_generator.h"
#include "app/request_mix.h"
#include "app/subcommands.h"
#include "core/errors.h"

#include <iostream>

namespace cranberryshed::app {

namespace po = boost::program_options;

namespace {

    // Returns the templates of the classes selected on the command line, with the sizes given there.
    std::vector<RequestTemplate> selectedMix(const po::variables_map& values)
    {
        std::vector<RequestTemplate> mix = requestMix(values["declarations"].as<std::string>());
        if (values.contains("class")) {
            const auto& names = values["class"].as<std::vector<std::string>>();
            std::erase_if(mix, [&](const RequestTemplate& kind) { return std::ranges::find(names, kind.className) == names.end(); });
        }
        for (RequestTemplate& kind : mix) {
            if (values.contains("work-us"))
                kind.serviceMicroseconds = values["work-us"].as<std::uint64_t>();
            if (values.contains("answer-bytes"))
                kind.answerBytes = values["answer-bytes"].as<std::uint64_t>();
        }
        if (mix.empty())
            throw core::Error(core::ErrorKind::BadUsage, "the declarations contain no class that --class selects");
        return mix;
    }

    LoadOptions loadOptions(const po::variables_map& values)
    {
        LoadOptions options;
        if (values.contains("entry"))
            options.caller.lookupAddresses = values["entry"].as<std::vector<std::string>>();
        if (values.contains("direct"))
            options.caller.directAddress = values["direct"].as<std::string>();
        if (options.caller.lookupAddresses.empty() && options.caller.directAddress.empty())
            throw core::Error(core::ErrorKind::BadUsage, "--entry or --direct is required");
        options.mix = selectedMix(values);
        options.maxConcurrentRequests = values["connections"].as<std::uint32_t>();
        options.rate = values["rate"].as<double>();
        options.maxRequests = values["requests"].as<std::uint64_t>();
        options.maxDuration = std::chrono::seconds(values["seconds"].as<std::uint32_t>());
        options.seed = values["seed"].as<std::uint64_t>();
        options.lookupsOnly = values.contains("lookups");
        return options;
    }

}

int loadCommand(const Arguments& arguments)
{
    po::options_description options("options");
    options.add_options()("entry", po::value<std::vector<std::string>>(), "IP:port of an entry VM for look-ups; can be repeated")(
        "direct", po::value<std::string>(), "IP:port to send to without a look-up, for comparison")(
        "declarations", po::value<std::string>()->default_value("examples/foundry"), "folder or file that declares the classes")(
        "class", po::value<std::vector<std::string>>(), "only this class; can be repeated")(
        "connections", po::value<std::uint32_t>()->default_value(8), "maximum number of concurrent requests")(
        "rate", po::value<double>()->default_value(0), "requests per second, at random times; 0: each answer triggers the next request")(
        "requests", po::value<std::uint64_t>()->default_value(1000), "stop after this number of requests")(
        "seconds", po::value<std::uint32_t>()->default_value(30), "stop after this number of seconds")(
        "work-us", po::value<std::uint64_t>(), "service time at the simulated backend server in microseconds")(
        "answer-bytes", po::value<std::uint64_t>(), "body size of an answer in bytes")("lookups", "send look-ups only")(
        "seed", po::value<std::uint64_t>()->default_value(1), "random seed of arrivals and classes; part of the work ids");
    addOutputOption(options);
    const std::optional<po::variables_map> values = parseArguments("load", "Sends a limited number of requests and prints latency percentiles.", options, arguments);
    if (!values)
        return 0;
    const admin::OutputFormat format = outputForm(*values);
    const LoadResult result = runLoad(loadOptions(*values));
    if (format == admin::OutputFormat::Json)
        std::cout << boost::json::serialize(loadJson(result)) << '\n';
    else
        std::cout << loadTable(result);
    return 0;
}

}
