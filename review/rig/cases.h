#pragma once

#include "case.h"

namespace rig {

struct Case {
    const char* name;
    int (*run)(Record&);
};

int hiddenRequest(Record&);
int lateRefusal(Record&);
int emptyAnswer(Record&);
int repeatedTerm(Record&);
int longStop(Record&);

inline constexpr Case cases[] = {
    { "hidden-request", hiddenRequest },
    { "late-refusal", lateRefusal },
    { "empty-answer", emptyAnswer },
    { "repeated-term", repeatedTerm },
    { "long-stop", longStop },
};

}
