#include "app/explain.h"
#include "app/subcommands.h"
#include "core/errors.h"

#include <fstream>
#include <iostream>

namespace cranberryshed::app {

namespace po = boost::program_options;

namespace {

    constexpr std::string_view standardInput = "-";

    std::vector<LogRecord> readLogs(const std::vector<std::string>& paths)
    {
        std::vector<LogRecord> records;
        for (const std::string& path : paths) {
            std::ifstream file;
            if (path != standardInput)
                file.open(path);
            if (path != standardInput && !file)
                throw core::Error(core::ErrorKind::BadUsage, "can't read " + path);
            std::vector<LogRecord> more = readLog(path == standardInput ? std::cin : file, path);
            std::ranges::move(more, std::back_inserter(records));
        }
        return records;
    }

}

int explainCommand(const Arguments& arguments)
{
    po::options_description options("options");
    options.add_options()("request", po::value<std::string>(), "print all records of the request with this id");
    options.add_options()("slowest", po::value<std::size_t>(), "print this number of requests with the longest time to answer");
    options.add_options()("refused", po::bool_switch(), "print how many requests the entry VMs answered with an error, by error");
    options.add_options()("file", po::value<std::vector<std::string>>()->default_value({ std::string(standardInput) }, "-"), "logs of entry VMs; -: standard input");
    po::positional_options_description positional;
    positional.add("file", -1);
    const std::optional<po::variables_map> values = parseArguments("explain [FILE]...", "Shows from logs how requests were handled.", options, arguments, positional);
    if (!values)
        return 0;
    const bool refused = (*values)["refused"].as<bool>();
    if (values->count("request") + values->count("slowest") + (refused ? 1 : 0) != 1)
        throw core::Error(core::ErrorKind::BadUsage, "exactly one of --request, --slowest and --refused is required");
    const std::vector<LogRecord> records = readLogs((*values)["file"].as<std::vector<std::string>>());
    if (values->count("slowest") > 0)
        printSlowest(records, (*values)["slowest"].as<std::size_t>(), std::cout);
    else if (refused)
        printRefused(records, std::cout);
    else if (!printTimeline(records, (*values)["request"].as<std::string>(), std::cout))
        throw core::Error(core::ErrorKind::NotFound, "no log line has this request; its lines might have been dropped, see the field \"dropped\" of other lines");
    return 0;
}

}
