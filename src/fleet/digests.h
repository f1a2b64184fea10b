#pragma once

#include "fleet/membership.h"
#include "fleet/messages.h"
#include "fleet/packing.h"

#include <map>
#include <optional>
#include <vector>

namespace cranberryshed::fleet {

// The load digests of all failure domains. A load digest is the sum of the loads of a failure domain's members; it is
// not a hash, as a digest in anti-entropy usually is. Two members of each failure domain, its aggregators, compute it.
//
// Each member reports its load to both aggregators. The first aggregator publishes the load digest; the second one
// publishes only while that of the first is overdue. A member holds one load digest per failure domain, the latest
// measured, so those of both aggregators are never added up. It gets newer load digests by anti-entropy with a random
// member each second.
class Digests {
public:
    Digests(const Membership&, core::TimePoint now);

    // Sets the load of this member. `domain`, `measuredAt` and `members` of the argument are ignored.
    void setLoad(const core::DomainDigest&, core::TimePoint now);

    // Applies and answers messages about loads and hashed names.
    void handle(Context&, core::TimePoint now);

    // Once per interval: reports this member's load, and publishes the load digest if it is this member's turn.
    void onTimer(core::TimePoint now, core::RandomEngine&, Outbox&);
    core::TimePoint nextTimer() const { return this->nextReport; }

    // The time since the measurement of each load digest, for Sync.
    std::vector<Sync::DigestAge> ages(core::TimePoint now) const;
    std::vector<core::DomainDigest> digests() const; // of the failure domains whose names are known; ordered by name
    std::uint64_t changes() const { return this->changeCount; }

    // Time between two load digests of a failure domain. It grows with the size of the load digests and with the number
    // of members of the failure domain, so that the traffic per member does not grow.
    core::Duration interval() const { return this->currentInterval; }

private:
    struct MeasuredLoad {
        PackedDigest load;
        core::TimePoint measuredAt {}; // by this process's clock
    };

    void updateMembers();
    void updateInterval();
    void sendReport(core::TimePoint now, Outbox&);
    void sumReports(core::TimePoint now);
    void sendSum(core::TimePoint now, core::RandomEngine&, Outbox&) const;
    bool shouldPublish(core::TimePoint now) const;
    bool keepIfNewer(PackedDigest, core::TimePoint measuredAt);
    void onSync(Context&, const Sync&, core::TimePoint now) const;
    void onPush(Context&, const DigestPush&, core::TimePoint now);
    void requestUnknownNames(Context&, const PackedDigest&, core::TimePoint now);
    void onNamesWanted(Context&, const NamesWanted&) const;
    void sendSums(Context&, const std::vector<NameId>&, core::TimePoint now) const;
    PackedDigest withAge(const MeasuredLoad&, core::TimePoint now) const;

    const Membership& membership;
    NameTable names;
    std::optional<MeasuredLoad> ownLoad;
    std::map<MemberId, MeasuredLoad> reports; // only held by an aggregator
    std::map<NameId, MeasuredLoad> sumsByDomain;
    std::map<NameId, core::TimePoint> nameRequests; // when a name was last requested
    core::TimePoint nextReport;
    core::Duration currentInterval = std::chrono::seconds(1);
    bool includeStandby = false; // whether this interval's report also goes to the second aggregator
    core::TimePoint aggregatingSince = core::TimePoint::max(); // max: not an aggregator
    std::uint64_t seenMembershipChanges = UINT64_MAX; // Membership::changes() when the members were last read
    std::size_t domainMemberCount = 0; // live members of this member's failure domain
    std::vector<MemberId> aggregators; // of this member's failure domain, in order of preference
    std::uint64_t changeCount = 0;
};

}
