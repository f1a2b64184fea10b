#pragma once

#include "admin/options.h"

#include <boost/program_options.hpp>
#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::app {

using Arguments = std::vector<std::string>;

// Parses the arguments of a subcommand. For --help and --version, prints the text and returns nothing.
// Throws core::Error (BadUsage) for invalid arguments.
std::optional<boost::program_options::variables_map> parseArguments(const std::string& command, const std::string& summary,
    boost::program_options::options_description options, const Arguments& arguments, const boost::program_options::positional_options_description& positional = {});

// Adds `--output json|text`.
void addOutputOption(boost::program_options::options_description&);

// Returns the value of `--output`. Throws core::Error (BadUsage) for an unknown one.
admin::OutputFormat outputForm(const boost::program_options::variables_map&);

}
