#pragma once

#include "core/steering_table.h"
#include "request/events.h"
#include "request/region_shares.h"
#include "request/server_stats.h"

#include <concepts>
#include <optional>
#include <span>

namespace cranberryshed::request {

// The attempt for which a backend server is wanted.
struct ChooserInput {
    const core::SteeringTable& table;
    core::ClassIndex classIndex {};
    std::span<const core::ServerIndex> excluded {};
    std::uint64_t affinity = 0; // hash of what the request is about; 0: unknown
    bool isNewRequest = true; // the request has just arrived
    core::TimePoint targetAt = core::TimePoint::max(); // when the answer should be there

    const core::ClassEntry& classEntry() const { return this->table.at(this->classIndex); }
};

// Chooses a backend server for one attempt, or none if every candidate is full.
// The chooser takes the server's slot (SlotCounter::tryAcquire) before it returns.
template <typename Candidate>
concept Chooser = requires(Candidate& chooser, const ChooserInput& input, core::RandomEngine& random, core::TimePoint now)
{
    {
        chooser.choose(input, random, now)
        } -> std::same_as<std::optional<core::ServerIndex>>;
};

// A chooser that learns from the ends of the attempts that it started. The engine reports each one once.
template <typename Candidate>
concept LearningChooser = Chooser<Candidate> && requires(Candidate& chooser, const AttemptFeedback& attempt, core::TimePoint now)
{
    chooser.recordEnd(attempt, now);
};

// A chooser that tells what its last choice rests on.
template <typename Candidate>
concept ExplainingChooser = Chooser<Candidate> && requires(const Candidate& chooser)
{
    {
        chooser.basis()
        } -> std::same_as<ChoiceBasis>;
};

// Tries the servers of the class in turn. The simplest chooser, kept for comparison.
class RoundRobin {
public:
    std::optional<core::ServerIndex> choose(const ChooserInput&, core::RandomEngine&, core::TimePoint now);

private:
    std::size_t next = 0;
};

// Takes the better of two random servers by own requests in flight and the last report. For comparison.
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

// Samples some servers, leaves out the hot ones (many requests in flight) and takes the one with the lowest
// latency; if all are hot, the one with the fewest requests in flight. After "Load is not what you should
// balance: Introducing Prequal" (Wydrowski et al., NSDI 2024), with reports in place of its probes. For comparison.
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

// Uses the home part of the servers first, where this entry VM's own counts are nearly the truth, and spills
// over to others: in turn, or those with the latest good answers while some server is slow. Regions get the shares that the steering table states.
class HomeSubset {
public:
    struct Options {
        ServerStats::Options stats {};
        std::size_t homeSampleSize = 8; // home servers compared for one choice
        std::size_t otherSampleSize = 4; // others compared, and the logarithm of their number more
        double spillFactor = 16; // requests outside the home part, in this VM's equal part of the free slots
        std::size_t minSpillLimit = 2; // that may always run outside the home part
        // Time after an ejection during which servers with good answers come first among the others.
        core::Duration cautionPeriod = std::chrono::seconds(10);
        std::uint32_t threads = 1; // traffic threads of the process, which share the regions' limits
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
    std::size_t nextOther = 0; // whose turn it is
};

}
