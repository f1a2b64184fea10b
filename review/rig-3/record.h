#pragma once

// The record of a case, and its exit code.

#include "net.h"

#include <cstdio>
#include <fstream>
#include <mutex>

namespace rig {

enum ExitCode : int {
    held = 0, // the rule held
    broken = 1,
    notRun = 2, // the case could not run
};

class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
        , begin(Clock::now())
    {
    }

    // Adds a line with the time since the start of the case.
    void add(const std::string& text) { this->addAt(Clock::now(), text); }

    void addAt(Time time, const std::string& text)
    {
        char at[32];
        std::snprintf(at, sizeof(at), "%9.3f  ", secondsBetween(this->begin, time));
        const std::scoped_lock lock(this->mutex);
        this->file << at << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    Time begin;
};

}
