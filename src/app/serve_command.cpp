#include "app/settings.h"
#include "app/subcommands.h"
#include "core/errors.h"
#include "platform/setup.h"
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

    // Waits for SIGTERM or SIGINT, shuts the entry VM down and returns when that is done. A second signal ends
    // the process at once.
    // Reads the settings again when SIGHUP says that they have changed. Only the log's level and format change while
    // the process runs; all else is in force from the next start. Faulty settings are left out.
    void reloadOnHangup(asio::signal_set& hangups, const std::string& path)
    {
        hangups.async_wait([&hangups, path](const wire::error_code& error, int) {
            if (error)
                return;
            std::vector<declare::Problem> problems;
            const Settings settings = readSettings(path, problems);
            for (const declare::Problem& problem : problems)
                wire::log(core::LogComponent::App, spdlog::level::err, "the changed settings are not used: {}: {}", problem.path, problem.text);
            if (problems.empty())
                startLogging(settings.logLevel, settings.logFormat);
            wire::logEvent(wire::LogEvent::Reload, { { wire::LogField::Result, problems.empty() ? std::string_view("accepted") : std::string_view("refused") } });
            reloadOnHangup(hangups, path);
        });
    }

    template <typename EntryVmType>
    void runUntilSignal(EntryVmType& vm, const std::string& path)
    {
        asio::io_context context(1);
        asio::signal_set hangups(context, SIGHUP);
        reloadOnHangup(hangups, path);
        asio::signal_set signals(context, SIGTERM, SIGINT);
        const auto onSecond = [](const wire::error_code& error, int) {
            if (!error)
                std::_Exit(secondSignalExitCode);
        };
        signals.async_wait([&](const wire::error_code& error, int) {
            if (error)
                return;
            signals.async_wait(onSecond);
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

    // The settings file: the one of the command line, or the one that the platform names.
    std::string settingsPath(const po::variables_map& values)
    {
        if (values.count("settings") > 0)
            return values["settings"].as<std::string>();
        const char* path = std::getenv(settingsVariable);
        if (!path)
            throw core::Error(core::ErrorKind::BadUsage, std::string("--settings or the variable ") + settingsVariable + " must name the settings file");
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
        runEntryVm<platform::EntryVm>(settings.vm, path);
    return 0;
}

}
