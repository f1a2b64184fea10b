#include "app/settings.h"
#include "app/subcommands.h"
#include "core/errors.h"
#include "platform/platform_setup.h"
#include "wire/event_log.h"
#include "wire/log.h"

#include <cstdlib>
#include <iostream>

namespace cranberryshed::app {

namespace po = boost::program_options;
namespace asio = wire::asio;

namespace {

    constexpr int secondSignalExitCode = 1;
    constexpr const char* settingsVariable = "CRANBERRYSHED_SETTINGS";

    // Reads the settings file again at each SIGHUP. Only the level and the format of the log change while the process
    // runs; all other settings apply from the next start. A file with faults is ignored.
    void reloadOnHangup(asio::signal_set& hangups, const std::string& path)
    {
        hangups.async_wait([&hangups, path](const wire::error_code& error, int) {
            if (error)
                return;
            std::vector<declare::Problem> problems;
            const Settings settings = readSettings(path, problems);
            for (const declare::Problem& problem : problems)
                wire::log(core::LogComponent::App, spdlog::level::err, "settings not reloaded: {}: {}", problem.path, problem.text);
            if (problems.empty())
                startLogging(settings.logLevel, settings.logFormat);
            wire::logEvent(wire::LogEvent::Reload, { { wire::LogField::Result, problems.empty() ? std::string_view("accepted") : std::string_view("refused") } });
            reloadOnHangup(hangups, path);
        });
    }

    // Waits for SIGTERM or SIGINT, shuts the entry VM down and returns at the end of the shutdown. A second signal
    // ends the process at once.
    template <typename EntryVmType>
    void runUntilSignal(EntryVmType& vm, const std::string& path)
    {
        asio::io_context context(1);
        asio::signal_set hangups(context, SIGHUP);
        reloadOnHangup(hangups, path);
        asio::signal_set signals(context, SIGTERM, SIGINT);
        const auto onSecondSignal = [](const wire::error_code& error, int) {
            if (!error)
                std::_Exit(secondSignalExitCode);
        };
        signals.async_wait([&](const wire::error_code& error, int) {
            if (error)
                return;
            signals.async_wait(onSecondSignal);
            vm.shutDown([&] { asio::post(context, [&] { signals.cancel(); hangups.cancel(); }); });
        });
        context.run();
    }

    template <typename EntryVmType>
    void runEntryVm(const EntryVmOptions& options, const std::string& path)
    {
        EntryVmType vm(options);
        vm.start();
        runUntilSignal(vm, path);
    }

    // Returns the path of the settings file: from the command line, or from the environment variable that the platform
    // sets.
    std::string settingsPath(const po::variables_map& values)
    {
        if (values.count("settings") > 0)
            return values["settings"].as<std::string>();
        const char* path = std::getenv(settingsVariable);
        if (!path)
            throw core::Error(core::ErrorKind::BadUsage, std::string("--settings or the variable ") + settingsVariable + " must give the path of the settings file");
        return path;
    }

}

int serveCommand(const Arguments& arguments)
{
    po::options_description options("options");
    options.add_options()("settings", po::value<std::string>(), "settings file, JSON with comments; see docs/reference.md");
    const std::optional<po::variables_map> values = parseArguments("serve", "Runs one entry VM until SIGTERM, which starts a graceful shutdown.", options, arguments);
    if (!values)
        return 0;
    std::vector<declare::Problem> problems;
    const std::string path = settingsPath(*values);
    const Settings settings = readSettings(path, problems);
    for (const declare::Problem& problem : problems)
        std::cerr << problem.path << ": " << problem.text << '\n';
    if (!problems.empty())
        return core::errorInfo(core::ErrorKind::BadSettings).exitCode;
    startLogging(settings.logLevel, settings.logFormat);
    if (settings.vm.lookupAddress.empty())
        runEntryVm<EntryVm>(settings.vm, path);
    else
        runEntryVm<platform::PlatformEntryVm>(settings.vm, path);
    return 0;
}

}
