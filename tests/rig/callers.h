#pragma once

#include "request/fingerprint.h"
#include "rig/engine_simulation.h"

namespace cranberryshed::rig {

// One operation of a caller. All requests that it sends for the operation share the content.
struct CallerJob {
    bool isNonIdempotent = false;
    bool isPoison = false;
    std::uint64_t contentId = 0;
    std::size_t vm = 0; // the entry VM that the caller looked up
    std::string key;
    unsigned sendCount = 0;
    unsigned openRequests = 0;
    bool mayHaveRun = false; // an earlier request may have run, so a new key would allow a second run
    bool isAnswered = false;
};

struct CallerOptions {
    std::size_t jobCount = 300;
    core::Duration startPeriod = std::chrono::seconds(3); // jobs start at random times within it
    double nonIdempotentShare = 0.4;
    double poisonShare = 0;
    double duplicateShare = 0.1; // of jobs that send a second copy with the same key within 20 ms
    double disconnectShare = 0; // of requests whose caller disconnects within 20 ms
    unsigned maxSends = 6;
    core::Duration meanServiceTime = std::chrono::milliseconds(8);
};

// Simulates callers that retry whenever the answers allow it. A request that was not run is sent again, with its key or
// a new one. A request that may have run is sent again with its key, through any entry VM.
template <typename EngineType>
class Callers {
public:
    Callers(EngineSimulation<EngineType>& engineSimulation, CallerOptions callerOptions)
        : jobs(callerOptions.jobCount)
        , simulation(engineSimulation)
        , options(callerOptions)
    {
        for (std::size_t i = 0; i < this->jobs.size(); ++i) {
            CallerJob& job = this->jobs[i];
            job.isNonIdempotent = this->simulation.drawBool(this->options.nonIdempotentShare);
            job.isPoison = this->simulation.drawBool(this->options.poisonShare);
            job.contentId = i;
            this->simulation.scheduler.after(this->simulation.drawDuration(this->options.startPeriod), [this, i] { this->startJob(i); });
        }
    }

    std::vector<CallerJob> jobs;

    // Counts the non-idempotent jobs that ran more than once.
    std::size_t countRanTwice() const
    {
        std::vector<unsigned> runs(this->jobs.size());
        for (const auto& [id, record] : this->simulation.requestRecords)
            runs[record.jobIndex] += record.runCount;
        std::size_t count = 0;
        for (std::size_t i = 0; i < runs.size(); ++i)
            count += this->jobs[i].isNonIdempotent && runs[i] > 1 ? 1 : 0;
        return count;
    }

    // Counts the requests that ran although their caller was told that they did not.
    std::size_t countWronglyNotRun() const
    {
        std::size_t count = 0;
        for (const auto& [id, record] : this->simulation.requestRecords)
            count += record.wasReportedNotRun && record.runCount > 0 ? 1 : 0;
        return count;
    }

    // Counts the requests that did not end exactly once.
    std::size_t countWrongEnds() const
    {
        std::size_t count = 0;
        for (const auto& [id, record] : this->simulation.requestRecords)
            count += record.endCount != 1 ? 1 : 0;
        return count;
    }

    // Returns the percentage of answered jobs, without jobs that crash servers.
    double answeredPercent(bool isNonIdempotent) const
    {
        const auto isCounted = [&](const CallerJob& job) { return job.isNonIdempotent == isNonIdempotent && !job.isPoison; };
        const auto all = std::ranges::count_if(this->jobs, isCounted);
        const auto answered = std::ranges::count_if(this->jobs, [&](const CallerJob& job) { return isCounted(job) && job.isAnswered; });
        return 100.0 * static_cast<double>(answered) / static_cast<double>(all);
    }

    // Sends the job again through this entry VM, with its send count reset. Does nothing if the job is answered.
    void resend(std::size_t index, std::size_t vm)
    {
        this->jobs[index].sendCount = 0;
        this->send(index, vm);
    }

private:
    void startJob(std::size_t index)
    {
        CallerJob& job = this->jobs[index];
        this->lookUpEntryVm(job, true);
        this->send(index, job.vm);
        if (this->simulation.drawBool(this->options.duplicateShare))
            this->simulation.scheduler.after(this->simulation.drawDuration(std::chrono::milliseconds(20)), [this, index] { this->send(index, this->jobs[index].vm); });
    }

    // Returns a random running entry VM, or any if none is running.
    std::size_t randomRunningVm()
    {
        const std::size_t count = this->simulation.vms.size();
        const std::size_t first = this->simulation.random() % count;
        for (std::size_t i = 0; i < count; ++i) {
            if (this->simulation.vms[(first + i) % count].engine)
                return (first + i) % count;
        }
        return first;
    }

    // Simulates a look-up: picks a running entry VM and, for 80 % of non-idempotent jobs, takes a key that it issued.
    void lookUpEntryVm(CallerJob& job, bool withKey)
    {
        job.vm = this->randomRunningVm();
        job.key.clear();
        if (job.isNonIdempotent && withKey && this->simulation.drawBool(0.8))
            job.key = this->simulation.vms[job.vm].shared.keys->issue(this->simulation.scheduler.now());
    }

    void send(std::size_t index, std::size_t vm)
    {
        CallerJob& job = this->jobs[index];
        if (job.sendCount >= this->options.maxSends || job.isAnswered)
            return;
        // A key is only valid at the entry VM that issued it. If that one is down, any running one gets the request.
        if (!this->simulation.vms[vm].engine)
            vm = this->randomRunningVm();
        if (!this->simulation.vms[vm].engine)
            return this->sendLater(index, vm, std::chrono::milliseconds(50));
        ++job.sendCount;
        ++job.openRequests;
        request::RequestArrived arrival;
        arrival.method = job.isNonIdempotent ? "POST" : "GET";
        arrival.target = job.isNonIdempotent ? "/write" : "/read";
        arrival.key = job.key;
        arrival.fingerprint = request::fingerprintOf({ .host = "h", .method = arrival.method, .target = arrival.target, .bodyLength = 8, .bodyPrefix = std::to_string(job.contentId) });
        std::exponential_distribution<double> extraTime(1.0 / static_cast<double>(this->options.meanServiceTime.count()));
        const core::Duration serviceTime = core::Duration(500 + static_cast<core::Duration::rep>(extraTime(this->simulation.random)));
        const core::RequestId id = this->simulation.send(vm, index, std::move(arrival), job.isPoison, serviceTime, [this, index](core::RequestId, const CallerResult& result) { this->onOutcome(index, result); });
        if (this->simulation.drawBool(this->options.disconnectShare))
            this->simulation.scheduler.after(this->simulation.drawDuration(std::chrono::milliseconds(20)), [this, vm, id, incarnation = this->simulation.vms[vm].incarnation] { this->simulation.deliver(vm, incarnation, request::CallerDisconnected { .request = id }); });
    }

    void onOutcome(std::size_t index, const CallerResult& result)
    {
        CallerJob& job = this->jobs[index];
        --job.openRequests;
        const bool answered = !result.error && !result.isLost;
        const bool notRun = result.error && core::errorInfo(*result.error).runState == core::RunState::NotRun;
        job.isAnswered = job.isAnswered || answered;
        job.mayHaveRun = job.mayHaveRun || (!answered && !notRun);
        if (answered || (notRun && !core::errorInfo(*result.error).isRetryAllowed))
            return;
        const core::Duration delay = this->simulation.drawDuration(std::chrono::milliseconds(40));
        if (!job.isNonIdempotent || job.mayHaveRun)
            return this->sendLater(index, this->randomRunningVm(), delay);
        if (job.openRequests > 0)
            return;
        if (result.error == core::ErrorKind::KeyRequired)
            job.key = result.issuedKey;
        else if (!this->simulation.vms[job.vm].engine || this->simulation.drawBool(0.3))
            this->lookUpEntryVm(job, true); // no request of the job has run, so a new key is safe
        this->sendLater(index, job.vm, delay);
    }

    void sendLater(std::size_t index, std::size_t vm, core::Duration delay)
    {
        this->simulation.scheduler.after(delay, [this, index, vm] { this->send(index, vm); });
    }

    EngineSimulation<EngineType>& simulation;
    CallerOptions options;
};

}
