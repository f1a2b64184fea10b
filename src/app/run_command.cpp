#include "app/run_command.h"

#include "app/arguments.h"
#include "app/subcommands.h"
#include "core/errors.h"

#include <array>
#include <iostream>

namespace cranberryshed::app {

namespace {

    struct Command {
        std::string_view name;
        std::string_view summary;
        int (*run)(const Arguments&);
    };

    constexpr std::array commands = {
        Command { "serve", "run an entry VM", serveCommand },
        Command { "dev", "run both users' example systems in one process", devCommand },
        Command { "load", "send requests and print latency percentiles", loadCommand },
        Command { "check", "check settings and declarations without running anything", checkCommand },
        Command { "diff", "show how declarations differ from the store's", diffCommand },
        Command { "apply", "write declarations to the store", applyCommand },
        Command { "get", "print objects of the store", getCommand },
        Command { "status", "print targets next to the measured values, and drains", statusCommand },
        Command { "wait", "wait until the accepted declarations are in force on all given members", waitCommand },
        Command { "dump", "print the state of one entry VM", dumpCommand },
        Command { "explain", "show from logs how requests were handled", explainCommand },
    };

    void printUsage(std::ostream& out)
    {
        out << "usage: cranberryshed COMMAND [OPTIONS]\n\ncommands:\n";
        for (const Command& command : commands)
            out << "  " << command.name << std::string(10 - command.name.size(), ' ') << command.summary << '\n';
        out << "\n`cranberryshed COMMAND --help` lists a command's options.\n"
               "exit codes: 0 done, 1 failed, 2 bad input, 3 conflict, 4 store unavailable, 5 outcome unclear, 6 not yet in force\n";
    }

    int runChecked(const Command& command, const Arguments& arguments)
    {
        try {
            return command.run(arguments);
        } catch (const core::Error& error) {
            std::cerr << "cranberryshed " << command.name << ": " << error.what() << '\n';
            return core::errorInfo(error.kind()).exitCode;
        } catch (const std::exception& error) {
            std::cerr << "cranberryshed " << command.name << ": " << error.what() << '\n';
            return 1;
        }
    }

}

int runCommand(const std::vector<std::string>& arguments)
{
    const std::string name = arguments.empty() ? "" : arguments.front();
    if (name == "--version") {
        std::cout << "cranberryshed " << CRANBERRYSHED_VERSION << '\n';
        return 0;
    }
    if (name == "--help") {
        printUsage(std::cout);
        return 0;
    }
    for (const Command& command : commands) {
        if (command.name == name)
            return runChecked(command, { arguments.begin() + 1, arguments.end() });
    }
    printUsage(std::cerr);
    return core::errorInfo(core::ErrorKind::BadUsage).exitCode;
}

}
