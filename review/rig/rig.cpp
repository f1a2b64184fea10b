// Runs one review case: rig CASE RECORD. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.

#include "cases.h"

#include <cstdio>

constexpr unsigned maxSeconds = 118; // then the signal ends this program, and with it the entry VMs

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    ::alarm(maxSeconds);
    if (argc != 3)
        return rig::couldNotRun;
    const std::string name = argv[1];
    rig::Record record(argv[2]);
    for (const rig::Case& entry : rig::cases) {
        if (name == entry.name) {
            const int result = entry.run(record);
            std::printf("%s: %s (TROUBLE=%d)\n", argv[1], result == 1 ? "the rule was broken" : result == 0 ? "the rule held"
                                                                                                            : "the case couldn't run",
                rig::hasTrouble() ? 1 : 0);
            record.line(result == 1 ? "result: the rule was broken" : result == 0 ? "result: the rule held"
                                                                                  : "result: the case couldn't run");
            return result;
        }
    }
    return rig::couldNotRun;
}
