#pragma once

#include "request/choose.h"
#include "request/class_estimates.h"
#include "request/region_share_limiter.h"
#include "request/server_estimate.h"

#include <unordered_map>

namespace cranberryshed::request {

// Sends each request to the server from which its answer is expected first, with the price of the transfer counted
// as time.
//
// Runs of an object are faster on a server that ran it recently, so all entry VMs give an object the same preferred
// server in each region (rendezvous hashing): that keeps the servers' memories apart and multiplies what a region can
// serve. Requests wait for that server as long as a run elsewhere would take longer, its higher price included.
//
// A request that can be answered in time may wait at its server. One that can't only gets a slot that is idle.
class EarliestAnswer {
public:
    struct Options {
        ServerEstimate::Options serverEstimate {};
        RegionShareLimiter::Options shareLimiter {};
        double minSlotChange = 0.1; // of a region's slots, that counts as a change of its servers
        // The time to a server and back, until a connection there has been measured.
        core::Duration sameDomainRoundTrip = std::chrono::milliseconds(2); // same failure domain
        core::Duration sameRegionRoundTrip = std::chrono::milliseconds(12); // same region
        core::Duration otherRegionRoundTrip = std::chrono::milliseconds(70);
        // What the transfer of an answer costs, as time per kilobyte.
        core::Duration sameRegionTransferPerKilobyte = std::chrono::microseconds(1500);
        core::Duration otherRegionTransferPerKilobyte = std::chrono::microseconds(2500);
        // What a run costs the requests that follow, as part of its time. A cold run takes a slot for longer and drives
        // another object out of the server's memory.
        double slotCostFactor = 3;
        std::size_t rankedPerRegion = 1; // servers of a region that are considered for an object, in their fixed order
        double maxQueuedAtServer = 6; // requests beyond a server's slots that may be sent to it, if they are in time then
        double idleSlotShare = 0.6; // part of a slot that must be free for a request that is late
        core::Duration latenessPenalty = std::chrono::seconds(1); // what a late answer costs against one in time
        double stuckRatio = 3; // times the expected time after which a running attempt says that the server is stuck
    };

    EarliestAnswer()
        : EarliestAnswer(Options {})
    {
    }

    explicit EarliestAnswer(Options chooserOptions)
        : options(chooserOptions)
        , shareLimiter(chooserOptions.shareLimiter)
    {
    }

    std::optional<core::ServerIndex> choose(const ChooserInput&, core::RandomEngine&, core::TimePoint now);
    void recordEnd(const AttemptFeedback&, core::TimePoint now);
    ChoiceBasis basis() const { return this->lastBasis; }

    // Servers of which something is remembered.
    std::size_t trackedServers() const { return this->serverEstimates.size(); }

private:
    struct Candidate {
        core::ServerIndex index {};
        bool inTime = false;
        core::Duration cost {}; // expected time until the answer, with the prices of its slot and transfer
        bool canSend = false; // may be sent now
        ChoiceBasis basis {};
    };

    // The slots of a service that take work, by region.
    struct RegionSlots {
        std::uint64_t generation = 0; // of the table
        std::vector<double> slots;
        std::vector<double> initialShares;
    };

    // The best candidate of each region, by RegionIndex.
    using BestByRegion = std::vector<std::optional<Candidate>>;

    // The servers for one object, by region, the preferred one first.
    using RankedServers = std::vector<std::vector<core::ServerIndex>>;

    const RankedServers& rankedServersOf(const ChooserInput&);
    void forgetRemovedServers(const core::SteeringTable&);
    const RegionSlots& regionSlotsOf(const ChooserInput&, core::TimePoint now);
    static std::vector<double> initialShares(const std::vector<double>& slots, core::RegionIndex self);
    bool isUsable(const ChooserInput&, core::ServerIndex, core::TimePoint now);
    BestByRegion findBestByRegion(const ChooserInput&, core::TimePoint now);
    // The region of the cheapest candidate for which the predicate holds.
    template <typename Predicate>
    static std::optional<core::RegionIndex> cheapestRegion(const BestByRegion&, Predicate);
    std::optional<Candidate> selectCandidate(const ChooserInput&, const BestByRegion&, core::TimePoint now);
    void addCandidate(const ChooserInput&, core::ServerIndex, bool preferred, core::TimePoint now, BestByRegion&);
    Candidate estimateCandidate(const ChooserInput&, core::ServerIndex, bool preferred, core::TimePoint now);
    core::Duration roundTrip(const core::SteeringTable&, const core::ServerEntry&) const;
    core::Duration transferCost(const core::SteeringTable&, const core::ServerEntry&, double bytes) const;
    bool canUseCold(const core::ServerEntry&, core::TimePoint now);
    ServerEstimate& estimateOf(std::uint64_t serverKey);

    struct TokenBucket {
        double tokens = 1;
        core::TimePoint filledAt {};
    };

    Options options;
    ClassEstimates classEstimates;
    std::unordered_map<std::uint64_t, ServerEstimate> serverEstimates; // by ServerEntry::key
    std::unordered_map<std::uint64_t, TokenBucket> coldBuckets; // likewise
    std::unordered_map<std::uint64_t, core::Duration> roundTrips; // measured, by hash of the failure domain's name
    ChoiceBasis lastBasis;
    RegionShareLimiter shareLimiter;
    std::unordered_map<std::uint64_t, RegionSlots> regionSlots; // by service
    std::uint64_t rankedGeneration = 0; // of the table that `homes` belongs to
    std::unordered_map<std::uint64_t, RankedServers> rankedServers; // by object and class
};

}
