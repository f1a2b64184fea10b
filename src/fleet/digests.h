#pragma once

#include "fleet/membership.h"
#include "fleet/messages.h"
#include "fleet/packing.h"

#include <map>
#include <optional>
#include <vector>

namespace cranberryshed::fleet {

// The loads of all failure domains, as sums that two members of each domain form.
//
// Each member reports its loads to both aggregators. The first one publishes the sum; the second one does so
// only while the first one's is overdue. A member holds one sum per failure domain, the one measured last,
// so that sums of both are never added, and gets newer ones by exchange with a random member each second.
class Digests {
public:
    Digests(const Membership&, core::TimePoint now);

    void setLoad(const core::DomainDigest&, core::TimePoint now);

    // Filter: learns from and answers the messages about loads.
    void handle(Context&, core::TimePoint now);

    void onTimer(core::TimePoint now, core::RandomEngine&, Outbox&);
    core::TimePoint nextTimer() const { return this->nextReport; }

    std::vector<Sync::DigestAge> ages(core::TimePoint now) const;
    std::vector<core::DomainDigest> digests() const;
    std::uint64_t changes() const { return this->changeCount; }

    // Time between two sums of a failure domain. It grows with the sums' size and with the members of the failure
    // domain, so that traffic per member does not.
    core::Duration interval() const { return this->currentInterval; }

private:
    struct MeasuredLoad {
        PackedDigest load;
        core::TimePoint measuredAt {}; // this process's time
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
    std::map<MemberId, MeasuredLoad> reports; // as an aggregator
    std::map<NameId, MeasuredLoad> sumsByDomain; // by failure domain
    std::map<NameId, core::TimePoint> nameRequests;
    core::TimePoint nextReport;
    core::Duration currentInterval = std::chrono::seconds(1);
    bool includeStandby = false;
    core::TimePoint aggregatingSince = core::TimePoint::max();
    std::uint64_t seenMembershipChanges = UINT64_MAX; // Membership::changes() at the last look
    std::size_t domainMemberCount = 0; // live ones in the own failure domain
    std::vector<MemberId> aggregators; // of the own failure domain
    std::uint64_t changeCount = 0;
};

}
