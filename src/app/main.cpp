#include "app/run_command.h"

int main(int argc, char** argv)
{
    return cranberryshed::app::runCommand({ argv + 1, argv + argc });
}
