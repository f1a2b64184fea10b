#pragma once

// What was sent, answered and run, with the seconds since the start of the case. Written to record.txt.

#include "net.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <vector>

namespace review {

class Record {
public:
    explicit Record(std::string recordPath)
        : path(std::move(recordPath))
    {
    }

    template <typename... Parts>
    void add(const Parts&... parts)
    {
        std::ostringstream line;
        line.setf(std::ios::fixed);
        line.precision(3);
        line << seconds(Clock::now() - this->begin);
        ((line << ' ' << parts), ...);
        const std::scoped_lock lock(this->mutex);
        this->lines.push_back(line.str());
    }

    // Adds a line that is also printed.
    template <typename... Parts>
    void say(const Parts&... parts)
    {
        this->add(parts...);
        const std::scoped_lock lock(this->mutex);
        std::cout << this->lines.back() << std::endl;
    }

    void save()
    {
        const std::scoped_lock lock(this->mutex);
        std::ofstream file(this->path);
        for (const std::string& line : this->lines)
            file << line << '\n';
    }

private:
    const std::string path;
    const Time begin = Clock::now();
    std::mutex mutex;
    std::vector<std::string> lines;
};

}
