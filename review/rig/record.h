#pragma once

// What was sent, answered and run in a case: kept for its checks and written to record.txt.

#include "http.h"

#include <cstdio>
#include <map>
#include <mutex>
#include <set>

namespace rig {

struct Run {
    std::string upstream;
    std::string method;
    std::string target;
    std::string body;
};

class Record {
public:
    explicit Record(const std::string& path)
        : file(std::fopen(path.c_str(), "w"))
        , begin(Clock::now())
    {
    }

    void line(const std::string& text)
    {
        const std::scoped_lock lock(this->mutex);
        this->write(text);
    }

    void sent(const std::string& id, const std::string& method, const std::string& target)
    {
        const std::scoped_lock lock(this->mutex);
        this->sentIds.insert(id);
        this->write("client sent " + id + ": " + method + " " + target);
    }

    void answered(const std::string& id, const Message& answer)
    {
        const std::scoped_lock lock(this->mutex);
        const int status = answer.startLine.empty() ? 0 : answer.status();
        this->answers[id] = status;
        this->write("client got for " + id + ": " + (status == 0 ? "no answer" : std::to_string(status) + (answer.complete ? "" : ", incomplete")));
    }

    void ran(const std::string& upstream, const Message& request)
    {
        const std::scoped_lock lock(this->mutex);
        const std::string id = request.field("Request-Id");
        this->runs[id].push_back({ upstream, request.word(0), request.word(1), request.body });
        this->write("upstream " + upstream + " runs " + id + ": " + request.word(0) + " " + request.word(1) + ", body of " + std::to_string(request.body.size()) + " bytes");
    }

    void finished(const std::string& upstream, const std::string& id)
    {
        const std::scoped_lock lock(this->mutex);
        this->finishedIds.insert(id);
        this->write("upstream " + upstream + " has finished " + id);
    }

    double seconds() const { return std::chrono::duration<double>(Clock::now() - this->begin).count(); }

    std::mutex mutex;
    std::set<std::string> sentIds;
    std::set<std::string> finishedIds;
    std::map<std::string, int> answers; // status by id; 0: none
    std::map<std::string, std::vector<Run>> runs;

private:
    void write(const std::string& text)
    {
        std::fprintf(this->file, "%8.3f %s\n", this->seconds(), text.c_str());
        std::fflush(this->file);
    }

    std::FILE* file;
    Clock::time_point begin;
};

}
