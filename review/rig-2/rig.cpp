// Runs one case of the review: rig CASE FOLDER. Writes FOLDER/record.txt. Exits with 0 if the rule held, 1 if it was
// broken, and 2 if the case couldn't run. With TROUBLE=0 in the environment, it does the same without the disruption.

#include "cases.h"
#include "fleet.h"

#include <map>

using namespace review;

int main(int argc, char** argv)
{
    const std::map<std::string, Case> cases {
        { "leaving-during-downloads", leavingDuringDownloads },
        { "crashing-request", crashingRequest },
        { "repeated-stop", repeatedStop },
        { "reset-by-client", resetByClient },
    };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: rig CASE FOLDER\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    Record record(std::string(argv[2]) + "/record.txt");
    int result = 2;
    try {
        record.say(found->first, hasTrouble ? "with the disruption" : "without the disruption");
        result = found->second(record, hasTrouble) ? 0 : 1;
        record.say(result == 0 ? "the rule held" : "the rule was broken");
    } catch (const std::exception& error) {
        record.say("the case couldn't run:", error.what());
    }
    record.save();
    return result;
}
