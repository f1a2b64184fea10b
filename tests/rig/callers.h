#pragma once

#include "request/fingerprint.h"
#include "rig/engine_simulation.h"

namespace cranberryshed::rig {

// One thing that a caller wants done, over all its repeats.
struct CallerJob {
    bool isNonIdempotent = false;
    bool isPoison = false;
    std::uint64_t contentId = 0;
    std::size_t vm = 0;
    std::string key;
    unsigned sendCount = 0;
    unsigned openRequests = 0;
    bool mayHaveRun = false; // may have run, so it never gets a fresh key
    bool isAnswered = false;
};

struct CallerOptions {
    std::size_t jobCount = 300;
    core::Duration startPeriod = std::chrono::seconds(3);
    double nonIdempotentShare = 0.4;
    double poisonShare = 0;
    double duplicateShare = 0.1; // sends a second copy with the same key at nearly the same time
    double disconnectShare = 0; // closes its connection early
    unsigned maxSends = 6;
    core::Duration meanServiceTime = std::chrono::milliseconds(8);
};

// Callers that repeat as eagerly as the answers allow: a request that was not run is sent again, also with a
// fresh key; one that may have run is repeated with its old key, through any entry VM.
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

    // Non-idempotent jobs that ran more than once.
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

    // Requests that ran although their caller was told that they did not.
    std::size_t countWronglyNotRun() const
    {
        std::size_t count = 0;
        for (const auto& [id, record] : this->simulation.requestRecords)
            count += record.wasReportedNotRun && record.runCount > 0 ? 1 : 0;
        return count;
    }

    // Requests that did not end exactly once.
    std::size_t countWrongEnds() const
    {
        std::size_t count = 0;
        for (const auto& [id, record] : this->simulation.requestRecords)
            count += record.endCount != 1 ? 1 : 0;
        return count;
    }

    // Answered jobs in percent, of those that crash no server.
    double answeredPercent(bool isNonIdempotent) const
    {
        const auto isCounted = [&](const CallerJob& job) { return job.isNonIdempotent == isNonIdempotent && !job.isPoison; };
        const auto all = std::ranges::count_if(this->jobs, isCounted);
        const auto answered = std::ranges::count_if(this->jobs, [&](const CallerJob& job) { return isCounted(job) && job.isAnswered; });
        return 100.0 * static_cast<double>(answered) / static_cast<double>(all);
    }

    // Sends the job once more, whatever came of it, through this entry VM.
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

    // A random entry VM that is up.
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

    // Takes an entry VM that is up and, most of the time, a key from its look-up answer.
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
        // A key only works at the entry VM that issued it; anything else goes to one that is up.
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
            this->lookUpEntryVm(job, true); // every send so far was told "not run", so a fresh key is allowed
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
