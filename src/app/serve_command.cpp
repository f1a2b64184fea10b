#include "app/commands.h"
#include "app/settings.h"
#include "core/errors.h"
#include "wire/log.h"

#include <iostream>

namespace cranberryshed::app {

namespace po = boost::program_options;
namespace asio = wire::asio;

namespace {

    constexpr int secondSignalExitCode = 1;

    // Waits for SIGTERM or SIGINT, shuts the entry VM down and returns when that is done. A second signal ends
    // the process at once.
    void runUntilSignal(EntryVm& vm)
    {
        asio::io_context context(1);
        asio::signal_set signals(context, SIGTERM, SIGINT);
        const auto onSecond = [](const wire::error_code& error, int) {
            if (!error)
                std::_Exit(secondSignalExitCode);
        };
        signals.async_wait([&](const wire::error_code& error, int) {
            if (error)
                return;
            signals.async_wait(onSecond);
            vm.shutDown([&] { asio::post(context, [&] { signals.cancel(); }); });
        });
        context.run();
    }

}

int serveCommand(const Arguments& arguments)
{
    po::options_description options("options");
    options.add_options()("settings", po::value<std::string>()->required(), "settings file, JSON with comments; see docs/reference.md");
    const std::optional<po::variables_map> values = parseArguments("serve", "Runs one entry VM until SIGTERM, which starts a graceful shutdown.", options, arguments);
    if (!values)
        return 0;
    std::vector<declare::Problem> problems;
    const Settings settings = readSettings((*values)["settings"].as<std::string>(), problems);
    for (const declare::Problem& problem : problems)
        std::cerr << problem.path << ": " << problem.text << '\n';
    if (!problems.empty())
        return core::answerFor(core::ErrorKind::BadSettings).exitCode;
    startLogging(settings.logLevel, settings.logFormat);
    EntryVm vm(settings.vm);
    vm.start();
    runUntilSignal(vm);
    return 0;
}

}
