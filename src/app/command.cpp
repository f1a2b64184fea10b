#include "app/command.h"

#include <iostream>

namespace cranberryshed::app {

int runCommand(const std::vector<std::string>& arguments)
{
    if (!arguments.empty() && arguments[0] == "--version") {
        std::cout << "cranberryshed " << CRANBERRYSHED_VERSION << '\n';
        return 0;
    }
    std::cerr << "usage: cranberryshed COMMAND [OPTIONS]\n";
    return 2;
}

}
