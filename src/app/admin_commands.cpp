#include "admin/commands.h"

#include "app/settings.h"
#include "app/subcommands.h"
#include "core/errors.h"
#include "wire/clock.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace cranberryshed::app {

namespace po = boost::program_options;

namespace {

    // Which options a command takes besides --output.
    struct Takes {
        bool paths = false;
        bool store = false;
        bool members = false;
        bool object = false;
        bool waiting = false;
    };

    using Run = int (*)(const admin::Options&, std::ostream&);

    po::options_description describe(const Takes& takes)
    {
        po::options_description options("options");
        if (takes.paths)
            options.add_options()("path", po::value<std::vector<std::string>>()->required(), "files and folders of declarations");
        if (takes.store)
            options.add_options()("store", po::value<std::string>()->required(), "IP:port of the platform's object API");
        if (takes.members)
            options.add_options()("member", po::value<std::vector<std::string>>(), "admin address of an entry VM, IP:port; may be repeated");
        if (takes.object)
            options.add_options()("kind", po::value<std::string>(), "only this kind")("name", po::value<std::string>(), "only this object");
        if (takes.waiting)
            options.add_options()("revision", po::value<std::uint64_t>(), "instead of the highest one in the store")("seconds", po::value<std::uint32_t>()->default_value(30), "longest wait");
        addOutputOption(options);
        return options;
    }

    admin::Options readOptions(const po::variables_map& values)
    {
        admin::Options options { .output = outputForm(values), .now = wire::wallNow() };
        if (values.contains("path"))
            options.paths = values["path"].as<std::vector<std::string>>();
        if (values.contains("store"))
            options.store = values["store"].as<std::string>();
        if (values.contains("member"))
            options.members = values["member"].as<std::vector<std::string>>();
        if (values.contains("kind"))
            options.kind = values["kind"].as<std::string>();
        if (values.contains("name"))
            options.name = values["name"].as<std::string>();
        if (values.contains("revision"))
            options.revision = values["revision"].as<std::uint64_t>();
        if (values.contains("seconds"))
            options.waitDeadline = std::chrono::seconds(values["seconds"].as<std::uint32_t>());
        return options;
    }

    int runAdmin(const std::string& name, const std::string& summary, const Takes& takes, const Arguments& arguments, Run run)
    {
        po::positional_options_description positional;
        if (takes.paths)
            positional.add("path", -1);
        else if (takes.object)
            positional.add("kind", 1).add("name", 1);
        const std::optional<po::variables_map> values = parseArguments(name, summary, describe(takes), arguments, positional);
        return values ? run(readOptions(*values), std::cout) : 0;
    }

    // Splits off the files that hold settings and checks them. Returns the number of faults.
    std::size_t checkSettings(std::vector<std::string>& paths, std::ostream& output)
    {
        std::vector<declare::Problem> problems;
        std::erase_if(paths, [&](const std::string& path) {
            if (!std::filesystem::is_regular_file(path))
                return false;
            std::ifstream file(path);
            const std::string text(std::istreambuf_iterator<char>(file), {});
            if (!looksLikeSettings(text))
                return false;
            std::vector<declare::Problem> found;
            parseSettings(text, found);
            for (const declare::Problem& problem : found)
                output << path << ": " << problem.path << ": " << problem.text << '\n';
            problems.insert(problems.end(), found.begin(), found.end());
            return true;
        });
        return problems.size();
    }

    int checkAll(const admin::Options& given, std::ostream& output)
    {
        admin::Options options = given;
        const std::size_t faults = checkSettings(options.paths, output);
        const int declarations = options.paths.empty() ? 0 : admin::check(options, output);
        return faults > 0 ? core::errorInfo(core::ErrorKind::BadSettings).exitCode : declarations;
    }

}

int checkCommand(const Arguments& arguments)
{
    return runAdmin("check", "Checks settings files and declarations without running anything.", { .paths = true }, arguments, checkAll);
}

int diffCommand(const Arguments& arguments)
{
    return runAdmin("diff", "Shows how declarations differ from the store's.", { .paths = true, .store = true, .members = true }, arguments, admin::diff);
}

int applyCommand(const Arguments& arguments)
{
    return runAdmin("apply", "Checks all declarations, then writes those that differ.", { .paths = true, .store = true, .members = true }, arguments, admin::apply);
}

int getCommand(const Arguments& arguments)
{
    return runAdmin("get", "Prints objects of the store.", { .store = true, .object = true }, arguments, admin::get);
}

int statusCommand(const Arguments& arguments)
{
    return runAdmin("status", "Prints targets beside measured outcomes, and drains with their dates.", { .store = true }, arguments, admin::status);
}

int waitCommand(const Arguments& arguments)
{
    return runAdmin("wait", "Waits until the accepted declarations are in force on every member given.", { .store = true, .members = true, .waiting = true }, arguments, admin::wait);
}

}
