#pragma once

#include "request/fingerprint.h"
#include "rig/engine_simulation.h"

namespace cranberryshed::rig {

// One thing that a caller wants done, over all its repeats.
struct Job {
    bool write = false; // non-idempotent
    bool poison = false;
    std::uint64_t content = 0;
    std::size_t vm = 0;
    std::string key;
    unsigned sends = 0;
    unsigned outstanding = 0;
    bool unclear = false; // may have run, so it never gets a fresh key
    bool answered = false;
};

struct CallerOptions {
    std::size_t jobs = 300;
    core::Duration spread = std::chrono::seconds(3);
    double writes = 0.4;
    double poison = 0;
    double duplicates = 0.1; // sends a second copy with the same key at nearly the same time
    double gone = 0; // closes its connection early
    unsigned sendLimit = 6;
    core::Duration meanWork = std::chrono::milliseconds(8);
};

// Callers that repeat as eagerly as the answers allow: a request that was not run is sent again, also with a
// fresh key; one that may have run is repeated with its old key, through any entry VM.
template <typename EngineType>
class Callers {
public:
    Callers(EngineSimulation<EngineType>& engineSimulation, CallerOptions callerOptions)
        : jobs(callerOptions.jobs)
        , simulation(engineSimulation)
        , options(callerOptions)
    {
        for (std::size_t i = 0; i < this->jobs.size(); ++i) {
            Job& job = this->jobs[i];
            job.write = this->simulation.drawBool(this->options.writes);
            job.poison = this->simulation.drawBool(this->options.poison);
            job.content = i;
            this->simulation.scheduler.after(this->simulation.drawDuration(this->options.spread), [this, i] { this->begin(i); });
        }
    }

    std::vector<Job> jobs;

    // Non-idempotent jobs that ran more than once.
    std::size_t ranTwice() const
    {
        std::vector<unsigned> runs(this->jobs.size());
        for (const auto& [id, record] : this->simulation.requestRecords)
            runs[record.jobIndex] += record.runCount;
        std::size_t count = 0;
        for (std::size_t i = 0; i < runs.size(); ++i)
            count += this->jobs[i].write && runs[i] > 1 ? 1 : 0;
        return count;
    }

    // Requests that ran although their caller was told that they did not.
    std::size_t wronglyNotRun() const
    {
        std::size_t count = 0;
        for (const auto& [id, record] : this->simulation.requestRecords)
            count += record.wasReportedNotRun && record.runCount > 0 ? 1 : 0;
        return count;
    }

    // Requests that did not end exactly once.
    std::size_t wrongEnds() const
    {
        std::size_t count = 0;
        for (const auto& [id, record] : this->simulation.requestRecords)
            count += record.endCount != 1 ? 1 : 0;
        return count;
    }

    // Answered jobs in percent, of those that crash no server.
    double answeredPercent(bool write) const
    {
        const auto counts = [&](const Job& job) { return job.write == write && !job.poison; };
        const auto all = std::ranges::count_if(this->jobs, counts);
        const auto answered = std::ranges::count_if(this->jobs, [&](const Job& job) { return counts(job) && job.answered; });
        return 100.0 * static_cast<double>(answered) / static_cast<double>(all);
    }

    // Sends the job once more, whatever came of it, through this entry VM.
    void repeat(std::size_t index, std::size_t vm)
    {
        this->jobs[index].sends = 0;
        this->send(index, vm);
    }

private:
    void begin(std::size_t index)
    {
        Job& job = this->jobs[index];
        this->lookUp(job, true);
        this->send(index, job.vm);
        if (this->simulation.drawBool(this->options.duplicates))
            this->simulation.scheduler.after(this->simulation.drawDuration(std::chrono::milliseconds(20)), [this, index] { this->send(index, this->jobs[index].vm); });
    }

    // A random entry VM that is up.
    std::size_t anyVm()
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
    void lookUp(Job& job, bool withKey)
    {
        job.vm = this->anyVm();
        job.key.clear();
        if (job.write && withKey && this->simulation.drawBool(0.8))
            job.key = this->simulation.vms[job.vm].shared.keys->issue(this->simulation.scheduler.now());
    }

    void send(std::size_t index, std::size_t vm)
    {
        Job& job = this->jobs[index];
        if (job.sends >= this->options.sendLimit || job.answered)
            return;
        // A key only works at the entry VM that issued it; anything else goes to one that is up.
        if (!this->simulation.vms[vm].engine)
            vm = this->anyVm();
        if (!this->simulation.vms[vm].engine)
            return this->sendLater(index, vm, std::chrono::milliseconds(50));
        ++job.sends;
        ++job.outstanding;
        request::RequestArrived arrival;
        arrival.method = job.write ? "POST" : "GET";
        arrival.target = job.write ? "/write" : "/read";
        arrival.key = job.key;
        arrival.fingerprint = request::fingerprintOf({ .host = "h", .method = arrival.method, .target = arrival.target, .bodyLength = 8, .bodyPrefix = std::to_string(job.content) });
        std::exponential_distribution<double> time(1.0 / static_cast<double>(this->options.meanWork.count()));
        const core::Duration work = core::Duration(500 + static_cast<core::Duration::rep>(time(this->simulation.random)));
        const core::RequestId id = this->simulation.send(vm, index, std::move(arrival), job.poison, work, [this, index](core::RequestId, const CallerResult& result) { this->onOutcome(index, result); });
        if (this->simulation.drawBool(this->options.gone))
            this->simulation.scheduler.after(this->simulation.drawDuration(std::chrono::milliseconds(20)), [this, vm, id, incarnation = this->simulation.vms[vm].incarnation] { this->simulation.deliver(vm, incarnation, request::CallerDisconnected { .request = id }); });
    }

    void onOutcome(std::size_t index, const CallerResult& result)
    {
        Job& job = this->jobs[index];
        --job.outstanding;
        const bool answered = !result.error && !result.isLost;
        const bool notRun = result.error && core::errorInfo(*result.error).runState == core::RunState::NotRun;
        job.answered = job.answered || answered;
        job.unclear = job.unclear || (!answered && !notRun);
        if (answered || (notRun && !core::errorInfo(*result.error).isRetryAllowed))
            return;
        const core::Duration pause = this->simulation.drawDuration(std::chrono::milliseconds(40));
        if (!job.write || job.unclear)
            return this->sendLater(index, this->anyVm(), pause);
        if (job.outstanding > 0)
            return;
        if (result.error == core::ErrorKind::KeyRequired)
            job.key = result.issuedKey;
        else if (!this->simulation.vms[job.vm].engine || this->simulation.drawBool(0.3))
            this->lookUp(job, true); // every send so far was told "not run", so a fresh key is allowed
        this->sendLater(index, job.vm, pause);
    }

    void sendLater(std::size_t index, std::size_t vm, core::Duration pause)
    {
        this->simulation.scheduler.after(pause, [this, index, vm] { this->send(index, vm); });
    }

    EngineSimulation<EngineType>& simulation;
    CallerOptions options;
};

}
