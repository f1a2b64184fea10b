// Runs one case: rig CASE RECORD. With TROUBLE=0 in the environment, the disruption is left out.

#include "cases.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace rig;
    const std::map<std::string, int (*)(bool, Record&)> cases = {
        { "removal-after-cut-watch", removalAfterCutWatch },
        { "body-read-late", bodyReadLate },
        { "lookup-after-loss", lookupAfterLoss },
        { "stale-seed", staleSeed },
    };
    if (argc != 3 || !cases.contains(argv[1])) {
        std::cerr << "usage: rig CASE RECORD\n";
        return notRun;
    }
    const char* trouble = std::getenv("TROUBLE");
    Record record(argv[2]);
    int code = notRun;
    try {
        code = cases.at(argv[1])(!trouble || std::string(trouble) != "0", record);
    } catch (const std::exception& error) {
        record.add(std::string("could not run: ") + error.what());
    }
    record.add("exit code " + std::to_string(code));
    std::cout << argv[1] << ": exit code " << code << std::endl;
    std::_Exit(code); // the stand-ins' threads still run
}
