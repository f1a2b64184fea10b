#include "admin/operator_commands.h"

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

    // The options that a command accepts in addition to --output.
    struct AcceptedOptions {
        bool paths = false;
        bool store = false;
        bool members = false;
        bool object = false;
        bool waiting = false; // --revision and --seconds
    };

    using CommandFunction = int (*)(const admin::Options&, std::ostream&);

    po::options_description describe(const AcceptedOptions& accepted)
    {
        po::options_description options("options");
        if (accepted.paths)
            options.add_options()("path", po::value<std::vector<std::string>>()->required(), "files and folders of declarations");
        if (accepted.store)
            options.add_options()("store", po::value<std::string>()->required(), "IP:port of the platform's object API");
        if (accepted.members)
            options.add_options()("member", po::value<std::vector<std::string>>(), "admin address of an entry VM, IP:port; can be repeated");
        if (accepted.object)
            options.add_options()("kind", po::value<std::string>(), "only this kind")("name", po::value<std::string>(), "only this object");
        if (accepted.waiting)
            options.add_options()("revision", po::value<std::uint64_t>(), "revision to wait for; default: the highest one in the store")("seconds", po::value<std::uint32_t>()->default_value(30), "maximum wait");
        addOutputOption(options);
        return options;
    }

    admin::Options readOptions(const po::variables_map& values)
    {
        admin::Options options { .output = outputForm(values), .now = wire::wallNow() };
        if (values.contains("path"))
            options.paths = values["path"].as<std::vector<std::string>>();
        if (values.contains("store"))
            options.storeAddress = values["store"].as<std::string>();
        if (values.contains("member"))
            options.memberAddresses = values["member"].as<std::vector<std::string>>();
        if (values.contains("kind"))
            options.kind = values["kind"].as<std::string>();
        if (values.contains("name"))
            options.name = values["name"].as<std::string>();
        if (values.contains("revision"))
            options.revision = values["revision"].as<std::uint64_t>();
        if (values.contains("seconds"))
            options.waitTimeout = std::chrono::seconds(values["seconds"].as<std::uint32_t>());
        return options;
    }

    int runAdminCommand(const std::string& name, const std::string& summary, const AcceptedOptions& accepted, const Arguments& arguments, CommandFunction run)
    {
        po::positional_options_description positional;
        if (accepted.paths)
            positional.add("path", -1);
        else if (accepted.object)
            positional.add("kind", 1).add("name", 1);
        const std::optional<po::variables_map> values = parseArguments(name, summary, describe(accepted), arguments, positional);
        return values ? run(readOptions(*values), std::cout) : 0;
    }

    // Checks the files that contain settings and removes them from `paths`. Returns the number of faults.
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

    int checkSettingsAndDeclarations(const admin::Options& given, std::ostream& output)
    {
        admin::Options options = given;
        const std::size_t faults = checkSettings(options.paths, output);
        const int declarations = options.paths.empty() ? 0 : admin::check(options, output);
        return faults > 0 ? core::errorInfo(core::ErrorKind::BadSettings).exitCode : declarations;
    }

}

int checkCommand(const Arguments& arguments)
{
    return runAdminCommand("check", "Checks settings files and declarations without running anything.", { .paths = true }, arguments, checkSettingsAndDeclarations);
}

int diffCommand(const Arguments& arguments)
{
    return runAdminCommand("diff", "Shows how declarations differ from the store's.", { .paths = true, .store = true, .members = true }, arguments, admin::diff);
}

int applyCommand(const Arguments& arguments)
{
    return runAdminCommand("apply", "Checks all declarations, then writes those that differ.", { .paths = true, .store = true, .members = true }, arguments, admin::apply);
}

int getCommand(const Arguments& arguments)
{
    return runAdminCommand("get", "Prints objects of the store.", { .store = true, .object = true }, arguments, admin::get);
}

int statusCommand(const Arguments& arguments)
{
    return runAdminCommand("status", "Prints targets next to the measured values, and drains with their dates.", { .store = true }, arguments, admin::status);
}

int waitCommand(const Arguments& arguments)
{
    return runAdminCommand("wait", "Waits until the accepted declarations are in force on all given members.", { .store = true, .members = true, .waiting = true }, arguments, admin::wait);
}

}
