#include "app/run_command.h"

#include <catch2/catch.hpp>

// Guards against an invalid command line that ends with exit code 0, which a script would take for success.
TEST_CASE("an unknown command ends with exit code 2", "[app]")
{
    CHECK(cranberryshed::app::runCommand({ "no-such-command" }) == 2);
}
