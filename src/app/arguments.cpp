#include "app/arguments.h"

#include "core/errors.h"

#include <iostream>

namespace cranberryshed::app {

namespace po = boost::program_options;

std::optional<po::variables_map> parseArguments(const std::string& command, const std::string& summary, po::options_description options,
    const Arguments& arguments, const po::positional_options_description& positional)
{
    options.add_options()("help", "print this help")("version", "print the version");
    po::variables_map values;
    try {
        po::store(po::command_line_parser(arguments).options(options).positional(positional).run(), values);
        if (values.contains("help")) {
            std::cout << "usage: cranberryshed " << command << " [OPTIONS]\n"
                      << summary << "\n\n"
                      << options;
            return std::nullopt;
        }
        if (values.contains("version")) {
            std::cout << "cranberryshed " << CRANBERRYSHED_VERSION << '\n';
            return std::nullopt;
        }
        po::notify(values);
    } catch (const po::error& error) {
        throw core::Error(core::ErrorKind::BadUsage, std::string(error.what()) + "; see `cranberryshed " + command + " --help`");
    }
    return values;
}

void addOutputOption(po::options_description& options)
{
    options.add_options()("output", po::value<std::string>()->default_value("text"), "text or json");
}

admin::OutputFormat outputForm(const po::variables_map& values)
{
    const std::string& name = values["output"].as<std::string>();
    const std::optional<admin::OutputFormat> format = core::parseName<admin::OutputFormat>(name);
    if (!format)
        throw core::Error(core::ErrorKind::BadUsage, "--output " + name + ": allowed are " + core::joinedNames<admin::OutputFormat>());
    return *format;
}

}
