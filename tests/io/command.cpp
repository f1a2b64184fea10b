#include "app/run_command.h"

#include <catch2/catch.hpp>

// Guards against a wrong command line that looks like a success to a script.
TEST_CASE("an unknown command line ends with exit code 2", "[app]")
{
    CHECK(cranberryshed::app::runCommand({ "no-such-command" }) == 2);
}
