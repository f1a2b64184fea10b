#pragma once

#include "request/choose.h"
#include "request/class_estimates.h"
#include "request/region_share_limiter.h"
#include "request/server_estimate.h"

#include <unordered_map>

namespace cranberryshed::request {

// Sends each request to the backend server with the earliest expected answer. The cost of transferring the answer
// counts as additional time.
//
// A request for an object runs faster on a server that served the object recently. Therefore all entry VMs compute the
// same preferred server per object and region (rendezvous hashing). The servers' caches then hold different objects,
// which multiplies the capacity of a region. A request waits for its preferred server as long as a run on another
// server would cost more, including that run's higher slot and transfer costs.
//
// A request that can be answered by its target time can queue at its server. A late request only gets an idle slot.
class EarliestAnswer {
public:
    struct Options {
        ServerEstimate::Options serverEstimate {};
        RegionShareLimiter::Options shareLimiter {};
        std::uint32_t threads = 1; // traffic threads of this process, each with a chooser of its own
        double minSlotChange = 0.1; // relative change of a region's slots that counts as a change of its servers
        // Round trip times assumed until a connection to the failure domain has been measured.
        core::Duration sameDomainRoundTrip = std::chrono::milliseconds(2);
        core::Duration sameRegionRoundTrip = std::chrono::milliseconds(12);
        core::Duration otherRegionRoundTrip = std::chrono::milliseconds(70);
        // Cost of transferring an answer, as time per kilobyte. Free within the same failure domain.
        core::Duration sameRegionTransferPerKilobyte = std::chrono::microseconds(1500);
        core::Duration otherRegionTransferPerKilobyte = std::chrono::microseconds(2500);
        // Cost of a run for later requests, as a multiple of its run time. A cold run occupies a slot for longer and
        // evicts another object from the server's cache.
        double slotCostFactor = 3;
        std::size_t rankedPerRegion = 1; // top-ranked servers per region that are considered for an object
        double maxQueuedAtServer = 6; // requests beyond a server's slots, if they are still in time
        double idleSlotShare = 0.6; // share of a slot that must be free to send a late request
        core::Duration latenessPenalty = std::chrono::seconds(1); // additional cost of a late answer
        double stuckRatio = 3; // running time, relative to the expected time, after which a server counts as stuck
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

    // Number of servers with an estimate.
    std::size_t trackedServers() const { return this->serverEstimates.size(); }

private:
    struct Candidate {
        core::ServerIndex index {};
        bool inTime = false;
        core::Duration cost {}; // expected time until the answer, plus slot cost, transfer cost and lateness penalty
        bool canSend = false; // the server has a free slot or queue position now
        ChoiceBasis basis {};
    };

    // Slots of a service on servers that are active or warming, by RegionIndex, and the initial region shares.
    struct RegionSlots {
        std::uint64_t generation = 0; // of the steering table
        std::vector<double> slots;
        std::vector<double> initialShares;
    };

    // The best candidate of each region, by RegionIndex.
    using BestByRegion = std::vector<std::optional<Candidate>>;

    // The servers for one object, by RegionIndex, the preferred one first.
    using RankedServers = std::vector<std::vector<core::ServerIndex>>;

    const RankedServers& rankedServersOf(const ChooserInput&);
    void forgetRemovedServers(const core::SteeringTable&);
    const RegionSlots& regionSlotsOf(const ChooserInput&, core::TimePoint now);
    static std::vector<double> initialShares(const std::vector<double>& slots, core::RegionIndex localRegion);
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
    std::unordered_map<std::uint64_t, TokenBucket> coldBuckets; // request rate of cold servers, by ServerEntry::key
    std::unordered_map<std::uint64_t, core::Duration> roundTrips; // measured, by hash of the failure domain's name
    ChoiceBasis lastBasis;
    RegionShareLimiter shareLimiter;
    std::unordered_map<std::uint64_t, RegionSlots> regionSlots; // by hash of the service's name
    std::uint64_t rankedGeneration = 0; // of the steering table that rankedServers was computed for
    std::unordered_map<std::uint64_t, RankedServers> rankedServers; // by hash of warm key and class index
};

}
