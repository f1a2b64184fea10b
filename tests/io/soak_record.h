#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::test {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// A configuration that the operator wrote.
struct Change {
    Clock::time_point sentAt {};
    Clock::time_point acknowledgedAt {};
    unsigned version = 0;
};

// What a caller saw: a request on a path that exists in one version only.
struct Probe {
    std::size_t vm = 0;
    unsigned incarnation = 0;
    Clock::time_point sentAt {};
    Clock::time_point answeredAt {};
    unsigned version = 0;
    int status = 0;
};

// A request that reached a server.
struct Arrival {
    std::size_t vm = 0;
    std::size_t server = 0;
    Clock::time_point at {};
};

// A span of time in which a VM, or all, can't be expected to know of changes in time.
struct Disturbed {
    Clock::time_point begin {};
    Clock::time_point end {};
    std::optional<std::size_t> vm {}; // empty: all
};

// A span of time in which servers must get no requests.
struct Absence {
    std::string reason;
    std::vector<std::size_t> servers;
    Clock::time_point begin {}; // when it was acknowledged
    Clock::time_point end {};
    Milliseconds bound {}; // after `begin`, until VMs must know of it
};

// The store was away and came back from a copy.
struct ReturnedStore {
    Clock::time_point awaySince {};
    Clock::time_point backAt {};
    Clock::time_point rewrittenAt {}; // when all writers had written their last state again
};

// What happened in a soak, and which promises were broken. Thread-safe while the soak runs; the checks follow after it.
class SoakRecord {
public:
    static constexpr Milliseconds changesWithin { 2000 };
    static constexpr Milliseconds stableTime { 4000 }; // after a disturbance, until a VM must keep the bound again
    static constexpr Milliseconds downgradeSlack { 250 }; // for requests that were on their way when a change took effect

    // Times in descriptions count from `begin`.
    void start(Clock::time_point time) { this->begin = time; }

    void add(const Change& change) { this->append(this->changes, change); }
    void add(const Arrival& arrival) { this->append(this->arrivals, arrival); }
    void add(const Disturbed& span) { this->append(this->disturbances, span); }
    void add(const Absence& absence) { this->append(this->absences, absence); }
    void add(const ReturnedStore& storeReturn) { this->append(this->returns, storeReturn); }

    // A request during a restart shows nothing of either process.
    void add(const Probe& probe)
    {
        if (probe.incarnation == this->incarnation(probe.vm))
            this->append(this->probes, probe);
    }

    // How often the VM has been restarted.
    unsigned incarnation(std::size_t vm) const
    {
        const std::scoped_lock lock(this->mutex);
        return static_cast<unsigned>(std::ranges::count(this->restarts, vm));
    }

    void addRestart(std::size_t vm) { this->append(this->restarts, vm); }

    std::size_t probeCount() const { return this->probes.size(); }

    // Returns a description of each promise that was broken.
    std::vector<std::string> check()
    {
        std::ranges::sort(this->returns, {}, &ReturnedStore::awaySince);
        std::vector<std::string> broken;
        this->checkConfigurations(broken);
        this->checkDowngrades(broken);
        this->checkAbsences(broken);
        return broken;
    }

private:
    template <typename Entry>
    void append(std::vector<Entry>& entries, const Entry& entry)
    {
        const std::scoped_lock lock(this->mutex);
        entries.push_back(entry);
    }

    std::string textOf(Clock::time_point time) const
    {
        return std::to_string(std::chrono::duration_cast<Milliseconds>(time - this->begin).count()) + " ms";
    }

    std::string describe(const Probe& probe) const
    {
        return "VM " + std::to_string(probe.vm) + ", version " + std::to_string(probe.version) + ", sent at " + this->textOf(probe.sentAt) + ", status " + std::to_string(probe.status);
    }

    // Whether the VM was disturbed at some time between two times, or shortly before, other than by a return of the store.
    bool isDisturbed(std::size_t vm, Clock::time_point from, Clock::time_point until) const
    {
        return std::ranges::any_of(this->disturbances, [&](const Disturbed& span) { return (!span.vm || span.vm == vm) && span.begin <= until && span.end >= from; });
    }

    // Whether the store had come back between two times, or shortly before, or its writers had not all written again.
    bool isReturning(Clock::time_point from, Clock::time_point until) const
    {
        return std::ranges::any_of(this->returns, [&](const ReturnedStore& span) { return span.awaySince <= until && span.rewrittenAt + stableTime >= from; });
    }

    // Whether a VM didn't know the path of the newest version.
    bool isUnknown(const Probe& probe) const
    {
        const bool wasReplaced = std::ranges::any_of(this->changes, [&](const Change& change) { return change.version > probe.version && change.sentAt <= probe.answeredAt; });
        return probe.status == 404 && !wasReplaced;
    }

    // Each version is in force within the bound: its path exists, and that of the version before it doesn't.
    void checkConfigurations(std::vector<std::string>& broken) const
    {
        for (const Probe& probe : this->probes) {
            if (this->isDisturbed(probe.vm, probe.sentAt, probe.answeredAt) || this->isReturning(probe.sentAt, probe.answeredAt))
                continue;
            for (const Change& change : this->changes) {
                if (probe.sentAt <= change.acknowledgedAt + changesWithin)
                    continue;
                const bool isMissing = probe.version == change.version && this->isUnknown(probe);
                const bool isStillServed = probe.version < change.version && probe.status == 200;
                if (isMissing || isStillServed)
                    broken.push_back("configuration " + std::to_string(change.version) + " of " + this->textOf(change.acknowledgedAt) + " is not in force: " + this->describe(probe));
            }
        }
    }

    // A VM that has shown a version never again shows an older one, as long as its process runs. It also goes on to know the
    // version until the next one is written.
    void checkDowngrades(std::vector<std::string>& broken) const
    {
        for (const Probe& seen : this->probes) {
            if (seen.status != 200)
                continue;
            for (const Probe& later : this->probes) {
                const bool isLater = later.vm == seen.vm && later.incarnation == seen.incarnation && later.sentAt > seen.answeredAt + downgradeSlack;
                if (!isLater)
                    continue;
                const bool showsOlder = later.version < seen.version && later.status == 200;
                if (showsOlder || (later.version == seen.version && this->isUnknown(later)))
                    broken.push_back("back from version " + std::to_string(seen.version) + ": " + this->describe(later));
            }
        }
    }

    // The time from which the bound of an absence counts for the VM. If the store lost the absence before the VM knew of
    // it for certain, that is when it was written again.
    Clock::time_point knowableSince(const Absence& absence, std::size_t vm) const
    {
        Clock::time_point since = absence.begin;
        for (const ReturnedStore& storeReturn : this->returns) {
            const bool wasLost = storeReturn.awaySince >= absence.begin;
            const bool wasKnown = storeReturn.awaySince >= since + absence.bound && !this->isDisturbed(vm, since, storeReturn.rewrittenAt);
            if (wasLost && !wasKnown)
                since = std::max(since, storeReturn.rewrittenAt);
            else if (!wasLost && storeReturn.backAt + stableTime > absence.begin)
                since = std::max(since, storeReturn.backAt + stableTime - absence.bound);
        }
        return since;
    }

    // A server gets no requests from the bound after the begin of its absence until its end, also if the store comes back
    // from a copy that doesn't hold it.
    void checkAbsences(std::vector<std::string>& broken) const
    {
        for (const Absence& absence : this->absences) {
            for (const Arrival& arrival : this->arrivals) {
                const bool isWithin = std::ranges::count(absence.servers, arrival.server) > 0 && arrival.at > absence.begin + absence.bound && arrival.at < absence.end;
                if (isWithin && arrival.at > this->knowableSince(absence, arrival.vm) + absence.bound && !this->isDisturbed(arrival.vm, arrival.at, arrival.at))
                    broken.push_back("server " + std::to_string(arrival.server) + " (" + absence.reason + ") left at " + this->textOf(absence.begin) + " and got a request of VM " + std::to_string(arrival.vm) + " at " + this->textOf(arrival.at));
            }
        }
    }

    mutable std::mutex mutex;
    Clock::time_point begin {};
    std::vector<Change> changes;
    std::vector<Probe> probes;
    std::vector<Arrival> arrivals;
    std::vector<Disturbed> disturbances;
    std::vector<Absence> absences;
    std::vector<ReturnedStore> returns;
    std::vector<std::size_t> restarts; // the number of the VM, for each restart
};

}
