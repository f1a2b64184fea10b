#pragma once

#include "soak_record.h"
#include "working_server.h"

namespace cranberryshed::test {

// The kinds of requests that crash servers.
enum class CrashKind : std::uint8_t { Read, // idempotent, before the answer
    Order, // not idempotent
    Upload, // idempotent, with a body that is too long to be kept
    LateRead }; // idempotent, in the middle of an answer that is relayed while it arrives

struct CrashingRequest {
    CrashKind kind = CrashKind::Read;
    std::string target;
};

// One try of a caller.
struct Try {
    std::string request;
    std::string target;
    std::size_t vm = 0;
    Clock::time_point sentAt {};
    Clock::time_point endedAt {};
    int status = 0; // 0: no whole answer
    bool isCalledCrashing = false; // refused because it crashes servers
};

// What callers saw of requests that crash servers and of others, what reached the servers, and which promises were broken.
class CrashRecord {
public:
    static constexpr Milliseconds stableTime { 3000 }; // after a disturbance of a VM, or after the third crash
    static constexpr std::size_t allowedRetries = 3;
    static constexpr Milliseconds atOnce { 1000 }; // for an answer that needs no server

    void add(const Try& sent)
    {
        const std::scoped_lock lock(this->mutex);
        this->tries.push_back(sent);
    }

    // The VM's process was stopped, continued, ended or started.
    void addDisturbance(std::size_t vm, Clock::time_point at)
    {
        const std::scoped_lock lock(this->mutex);
        this->disturbances.emplace_back(vm, at);
    }

    // Adds what happened at a server, once the run has ended.
    void addServer(WorkingServer& server)
    {
        for (const WorkingServer::Run& run : server.runs()) {
            ++this->runs[run.request];
            if (!run.isAnswered)
                this->unanswered.push_back(run);
        }
        for (const Try& sent : this->tries) {
            const std::vector<Clock::time_point> times = server.arrivals(sent.request);
            std::vector<Clock::time_point>& all = this->arrivals[sent.request];
            all.insert(all.end(), times.begin(), times.end());
            std::ranges::sort(all);
        }
    }

    std::vector<std::string> check(const std::vector<CrashingRequest>& crashing) const
    {
        std::vector<std::string> broken;
        for (const CrashingRequest& request : crashing) {
            this->checkRetries(request, broken);
            this->checkServedAgain(request, broken);
        }
        for (const Try& sent : this->tries) {
            const std::size_t runCount = this->runs.contains(sent.request) ? this->runs.at(sent.request) : 0;
            const bool isCrashing = std::ranges::count(crashing, sent.target, &CrashingRequest::target) > 0;
            if (sent.status == 503 && runCount > 0)
                broken.push_back("told 'not run', but it ran: " + sent.request + " " + sent.target);
            if (sent.target.starts_with("/write/") && runCount > 1)
                broken.push_back("ran twice: " + sent.request + " " + sent.target);
            if (!isCrashing && sent.isCalledCrashing)
                broken.push_back("refused although it crashes nothing: " + sent.request + " " + sent.target);
            if (sent.isCalledCrashing && sent.endedAt > sent.sentAt + atOnce && !this->isDisturbed(sent.vm, sent.sentAt, sent.endedAt))
                broken.push_back("refused late: " + sent.request + " " + sent.target);
        }
        return broken;
    }

    std::string summary(const std::vector<CrashingRequest>& crashing) const
    {
        std::string text;
        for (const CrashingRequest& request : crashing)
            text += request.target + ": " + std::to_string(this->crashTimes(request).size()) + " crashes, " + std::to_string(this->lateRetries(request)) + " late retries; ";
        std::map<int, std::size_t> statuses;
        for (const Try& sent : this->tries) {
            if (std::ranges::count(crashing, sent.target, &CrashingRequest::target) == 0)
                ++statuses[sent.status];
        }
        text += "others:";
        for (const auto& [status, count] : statuses)
            text += " " + std::to_string(status) + " x " + std::to_string(count);
        return text;
    }

private:
    // When the request crashed a server: its runs that ended without an answer while it crashed servers, at most one a
    // server. Runs that were dropped or whose answer was lost are few beside them and only make the check stricter.
    std::vector<Clock::time_point> crashTimes(const CrashingRequest& request) const
    {
        std::vector<Clock::time_point> times;
        for (const WorkingServer::Run& run : this->unanswered) {
            if (run.target == request.target)
                times.push_back(run.end.value_or(run.begin));
        }
        std::ranges::sort(times);
        return times;
    }

    std::size_t lateRetries(const CrashingRequest& request) const
    {
        const std::vector<Clock::time_point> crashes = this->crashTimes(request);
        std::size_t retries = 0;
        if (crashes.size() < 3)
            return retries;
        for (const Try& sent : this->tries) {
            if (sent.target != request.target)
                continue;
            const std::vector<Clock::time_point>& times = this->arrivals.at(sent.request);
            for (std::size_t i = 1; i < times.size(); ++i)
                retries += times[i] > crashes[2] + stableTime && !this->isDisturbed(sent.vm, times[i], times[i]) ? 1 : 0;
        }
        return retries;
    }

    void checkRetries(const CrashingRequest& request, std::vector<std::string>& broken) const
    {
        if (const std::size_t retries = this->lateRetries(request); retries > allowedRetries)
            broken.push_back(request.target + ": " + std::to_string(retries) + " late retries");
    }

    // A request that crashes servers no more is served again before the last of its tries.
    void checkServedAgain(const CrashingRequest& request, std::vector<std::string>& broken) const
    {
        std::vector<Try> own;
        std::ranges::copy_if(this->tries, std::back_inserter(own), [&](const Try& sent) { return sent.target == request.target; });
        std::ranges::sort(own, {}, &Try::sentAt);
        if (own.empty() || own.back().status != 200)
            broken.push_back(request.target + ": not served again");
    }

    // Whether the VM was disturbed in this span of time, or shortly before.
    bool isDisturbed(std::size_t vm, Clock::time_point from, Clock::time_point to) const
    {
        return std::ranges::any_of(this->disturbances, [&](const auto& disturbance) { return disturbance.first == vm && disturbance.second >= from - stableTime && disturbance.second <= to; });
    }

    std::mutex mutex; // protects what is added during the run
    std::vector<Try> tries;
    std::vector<std::pair<std::size_t, Clock::time_point>> disturbances;
    std::map<std::string, std::size_t> runs; // by request
    std::map<std::string, std::vector<Clock::time_point>> arrivals; // by request
    std::vector<WorkingServer::Run> unanswered;
};

}
