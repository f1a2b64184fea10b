#pragma once

#include "fleet/bucket_hashes.h"
#include "fleet/messages.h"
#include "fleet/prober.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberryshed::fleet {

struct MembershipOptions {
    MemberRecord self;
    std::vector<std::string> seeds; // "IP:port" of members to join through
};

// This member's view of all members and their states.
//
// Implements SWIM (Das, Gupta, Motivala 2002) with a timeout in which a suspected member can refute the suspicion, a
// refutation number that is separate from the incarnation, and anti-entropy by hashes per bucket.
class Membership {
public:
    Membership(MembershipOptions, core::TimePoint now);

    // Starts to probe and to join through the seeds. Without seeds the member counts as joined at once.
    void start(core::TimePoint now, core::RandomEngine&, Outbox&);

    // Runs every timer that is due: probes, the timeouts of suspicions, removal of dead members, retries of the join,
    // gossip, and pings of lost members.
    void onTimer(core::TimePoint now, core::RandomEngine&, Outbox&);
    core::TimePoint nextTimer() const;

    // Applies the facts and records in the header of any message, and answers messages about the membership and probes.
    void handle(Context&, core::TimePoint now, core::RandomEngine&);

    // Adds queued facts to a message. Each fact is sent at most maxSendsPerRumor() times.
    void piggyback(Message&);

    // Asks peers for the current state after a pause of this process, and restarts the timeouts of all suspicions, so
    // that no member is declared dead because of the pause.
    void refresh(core::TimePoint now, core::RandomEngine&, Outbox&);

    // Sends a join request to these addresses, in addition to the seeds.
    void joinThrough(const std::vector<std::string>& addresses, Outbox&) const;

    // Sets this member's state and gossips it, also directly to a few random members.
    void announce(core::MemberState, core::TimePoint now, core::RandomEngine&, Outbox&);

    const MemberRecord& self() const { return this->members.at(this->selfId).record; }
    const MemberRecord* find(MemberId) const; // null if there is no record
    std::vector<const MemberRecord*> all() const; // including dead and left members; ordered by id
    std::vector<const MemberRecord*> randomPeers(std::size_t count, core::RandomEngine&) const; // live members except this one
    std::size_t liveCount() const { return this->liveIds.size() + 1; } // including this member
    std::uint64_t hash() const { return this->hashes.setHash(); }
    // Counts changes of the members; equal values mean that nothing changed in between.
    std::uint64_t changes() const { return this->changeCount; }
    // A peer has answered, or there is none to ask, or several attempts to join stayed unanswered.
    bool hasJoined() const { return this->joined; }
    bool isRefreshing() const { return this->refreshing; }
    // A process with this member's name and a later incarnation is in the fleet.
    bool isSuperseded() const { return this->superseded; }

private:
    struct Member {
        MemberRecord record;
        core::TimePoint deadline = core::TimePoint::max(); // Suspect: when it is declared dead; Dead or Left: when it is removed
    };
    struct Rumor {
        int sends = 0; // how often it was sent, plus how often it was received from others
        bool withRecord = false; // send the record instead of the fact, as others may have none
    };

    // `isNews`: whether a member that is new here is gossiped, because others may not know it yet.
    void applyFact(const MemberFact&, const MemberRecord*, bool isNews, core::TimePoint now);
    void applyFactAboutSelf(const MemberFact&, core::TimePoint now);
    void addMember(const MemberRecord&, core::TimePoint now);
    void updateMember(Member&, const MemberFact&, core::TimePoint now);
    void addLive(const MemberFact&);
    void removeLive(const MemberFact&);
    void queueRumor(MemberId, bool withRecord, core::TimePoint now);
    void countRumorReceived(MemberId);
    void sendRumors(core::TimePoint now, core::RandomEngine&, Outbox&);
    void suspectMember(MemberId, core::TimePoint now, Outbox&);
    void expireDeadlines(core::TimePoint now);
    core::Duration suspicionTimeout() const;
    int maxSendsPerRumor() const;
    Prober::LivePeers proberPeers() const;

    void join(core::TimePoint now, core::RandomEngine&, Outbox&);
    void askToJoin(const std::string& address, Outbox&) const;
    void pingLostMembers(core::TimePoint now, core::RandomEngine&, Outbox&);
    core::Duration ownLostPingPeriod() const;
    core::TimePoint nextLostPingTime(core::TimePoint now, core::RandomEngine&) const;
    void applyHeader(Context&, core::TimePoint now);
    void requestMissingRecords(Context&, core::TimePoint now);
    void handleProbeMessages(Context&, core::TimePoint now);
    void addFactAboutSender(Context&) const;
    void answerJoin(Context&) const;
    void onJoinReply(core::TimePoint now);
    void answerRecordsWanted(Context&, const RecordsWanted&) const;
    void answerSync(Context&, const Sync&) const;
    void answerBuckets(Context&, const Buckets&, core::RandomEngine&) const;
    void answerBucket(Context&, const MemberBucket&) const;

    MemberId selfId;
    std::vector<std::string> seeds;
    std::map<MemberId, Member> members;
    std::vector<MemberId> liveIds; // live members except this one
    std::unordered_map<MemberId, std::size_t> liveIndex; // index in `liveIds`
    std::map<MemberId, Rumor> rumors;
    std::map<MemberId, core::TimePoint> missingRecords; // members without a record, with the time of the last request for it
    BucketHashes hashes;
    Prober prober;
    core::TimePoint nextDeadline = core::TimePoint::max();
    core::TimePoint nextJoin = core::TimePoint::max();
    int joinAttempts = 0;
    core::TimePoint nextRejoin = core::TimePoint::max(); // when the second join request is sent
    core::TimePoint nextGossip = core::TimePoint::max(); // when queued rumors are sent next
    core::TimePoint lastGossip {};
    core::TimePoint nextLostPing;
    core::TimePoint refreshDeadline = core::TimePoint::max();
    std::uint64_t changeCount = 0;
    bool joined = false;
    bool needsRejoin = false; // ask once more after the first reply, for members that joined at the same time
    bool refreshing = false;
    bool superseded = false;
};

}
