#pragma once

#include "core/steering_table.h"
#include "request/events.h"
#include "request/region_shares.h"
#include "request/server_stats.h"

#include <concepts>
#include <optional>
#include <span>

namespace cranberryshed::request {

// The request for which a chooser selects a backend server.
struct ChooserInput {
    const core::SteeringTable& table;
    core::ClassIndex classIndex {};
    std::span<const core::ServerIndex> excluded {};
    std::uint64_t affinity = 0; // hash of the requested object; 0: unknown
    bool isNewRequest = true; // the request has just arrived; false for queued requests, retries and hedges
    core::TimePoint targetAt = core::TimePoint::max(); // when the answer should have arrived

    const core::ClassEntry& classEntry() const { return this->table.at(this->classIndex); }
};

// Chooses a backend server for one attempt, or none if all candidates are full. The chooser acquires a slot of the
// server (SlotCounter::tryAcquire) before it returns.
template <typename Candidate>
concept Chooser = requires(Candidate& chooser, const ChooserInput& input, core::RandomEngine& random, core::TimePoint now)
{
    {
        chooser.choose(input, random, now)
        } -> std::same_as<std::optional<core::ServerIndex>>;
};

// A chooser that learns from the results of its attempts. The engine reports each ended attempt exactly once.
template <typename Candidate>
concept LearningChooser = Chooser<Candidate> && requires(Candidate& chooser, const AttemptFeedback& attempt, core::TimePoint now)
{
    chooser.recordEnd(attempt, now);
};

// A chooser that can state the estimates behind its last choice.
template <typename Candidate>
concept ExplainingChooser = Chooser<Candidate> && requires(const Candidate& chooser)
{
    {
        chooser.basis()
        } -> std::same_as<ChoiceBasis>;
};

// Plain round robin over the servers of the class. The simplest chooser, for comparison.
class RoundRobin {
public:
    std::optional<core::ServerIndex> choose(const ChooserInput&, core::RandomEngine&, core::TimePoint now);

private:
    std::size_t next = 0;
};

// Takes the less loaded of two random servers (power of two choices). The load is this entry VM's requests in flight
// plus the estimated requests of other entry VMs. For comparison.
class TwoChoices {
public:
    explicit TwoChoices(ServerStats::Options statsOptions = {})
        : stats(statsOptions)
    {
    }

    std::optional<core::ServerIndex> choose(const ChooserInput&, core::RandomEngine&, core::TimePoint now);
    void recordEnd(const AttemptFeedback& attempt, core::TimePoint now) { this->stats.recordEnd(attempt, now); }

private:
    ServerStats stats;
};

// Samples some servers, excludes the hot ones (many requests in flight) and takes the one with the lowest latency; if
// all are hot, the one with the fewest requests in flight. Follows "Load is not what you should balance: Introducing
// Prequal" (Wydrowski et al., NSDI 2024), but uses load reports instead of probes. For comparison.
class LeastLatency {
public:
    explicit LeastLatency(ServerStats::Options statsOptions = {})
        : stats(statsOptions)
    {
    }

    std::optional<core::ServerIndex> choose(const ChooserInput&, core::RandomEngine&, core::TimePoint now);
    void recordEnd(const AttemptFeedback& attempt, core::TimePoint now) { this->stats.recordEnd(attempt, now); }

private:
    ServerStats stats;
};

// Prefers the home subset of the servers, where this entry VM's own request counts are close to the total load, and
// spills over to the other servers: in turn, or first to those with the latest good answers while some server is slow.
// Distributes the requests over the regions according to the shares in the steering table.
class HomeSubset {
public:
    struct Options {
        ServerStats::Options stats {};
        std::size_t homeSampleSize = 8; // home servers compared per choice
        std::size_t otherSampleSize = 4; // other servers compared per choice, plus the logarithm of their number
        // Limit of requests outside the home subset, relative to this VM's equal share of the free slots.
        double maxSpillFactor = 16;
        std::size_t minSpillLimit = 2; // requests that can always run outside the home subset
        // Time after an ejection during which other servers with recent good answers are preferred.
        core::Duration cautionPeriod = std::chrono::seconds(10);
        std::uint32_t threads = 1; // traffic threads of the process, which share the region limits equally
    };

    HomeSubset()
        : HomeSubset(Options {})
    {
    }

    explicit HomeSubset(Options chooserOptions)
        : options(chooserOptions)
        , stats(chooserOptions.stats)
        , regionShares(chooserOptions.threads)
    {
    }

    std::optional<core::ServerIndex> choose(const ChooserInput&, core::RandomEngine&, core::TimePoint now);
    void recordEnd(const AttemptFeedback&, core::TimePoint now);

    const OutlierDetector& detector() const { return this->stats.detector(); }

private:
    struct Request {
        const core::SteeringTable& table;
        const core::ClassEntry& classEntry;
        const ServerGroup& group;
        std::span<const core::ServerIndex> excluded;
        core::RandomEngine& random;
        core::TimePoint now;
    };

    std::optional<core::ServerIndex> chooseInGroup(const Request&);
    std::optional<core::ServerIndex> chooseHome(const Request&, OutlierState worstState);
    std::optional<core::ServerIndex> chooseOther(const Request&);
    std::optional<core::ServerIndex> chooseRecentlyGood(const Request&);
    std::optional<core::ServerIndex> chooseRoundRobin(const Request&);
    bool canSpill(const Request&) const;
    std::uint32_t slotLimit(const Request&, const core::ServerEntry&) const;
    bool acceptsByWarmth(const Request&, const core::ServerEntry&) const;
    std::optional<double> score(const Request&, core::ServerIndex, OutlierState worstState) const;

    Options options;
    ServerStats stats;
    RegionShares regionShares;
    std::size_t nextOther = 0; // position in otherServers that the next round robin choice starts from
};

}
