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
    std::vector<std::string> seeds;
};

// The states of all members as this one knows them: SWIM (Das, Gupta, Motivala 2002) with a time to refute a
// suspicion, a refutation number apart from the incarnation, and anti-entropy over buckets.
class Membership {
public:
    Membership(MembershipOptions, core::TimePoint now);

    void start(core::TimePoint now, core::RandomEngine&, Outbox&);

    // Probes, declares suspects dead, forgets dead members, joins and looks for members that were lost.
    void onTimer(core::TimePoint now, core::RandomEngine&, Outbox&);
    core::TimePoint nextTimer() const;

    // Filter: learns from the facts and records in any message, and answers the membership's own messages.
    void handle(Context&, core::TimePoint now, core::RandomEngine&);

    // Adds facts that others should hear, each a bounded number of times.
    void piggyback(Message&);

    // Asks peers for the present state, because this process was paused. Nobody is declared dead meanwhile.
    void refresh(core::TimePoint now, core::RandomEngine&, Outbox&);

    // Asks these members to let this one join, beside the seeds.
    void joinThrough(const std::vector<std::string>& addresses, Outbox&) const;

    void announce(core::MemberState, core::TimePoint now, core::RandomEngine&, Outbox&);

    const MemberRecord& self() const { return this->members.at(this->selfId).record; }
    const MemberRecord* find(MemberId) const;
    std::vector<const MemberRecord*> all() const; // dead and left ones included, ordered by id
    std::vector<const MemberRecord*> randomPeers(std::size_t count, core::RandomEngine&) const; // live, without this one
    std::size_t liveCount() const { return this->liveIds.size() + 1; }
    std::uint64_t hash() const { return this->hashes.setHash(); }
    std::uint64_t changes() const { return this->changeCount; }
    bool joined() const { return this->hasJoined; }
    bool refreshing() const { return this->isRefreshing; }
    bool superseded() const { return this->isSuperseded; }

private:
    struct Member {
        MemberRecord record;
        core::TimePoint deadline = core::TimePoint::max(); // Suspect: declared dead; Dead or Left: forgotten
    };
    struct Rumor {
        int sends = 0;
        bool withRecord = false; // others may not know the member at all
    };

    // `news`: others may not know it yet, so it is spread.
    void applyFact(const MemberFact&, const MemberRecord*, bool isNews, core::TimePoint now);
    void applyFactAboutSelf(const MemberFact&, core::TimePoint now);
    void addMember(const MemberRecord&, core::TimePoint now);
    void updateMember(Member&, const MemberFact&, core::TimePoint now);
    void addLive(const MemberFact&);
    void removeLive(const MemberFact&);
    void queueRumor(MemberId, bool withRecord, core::TimePoint now);
    void countRumorHeard(MemberId);
    void sendRumors(core::TimePoint now, core::RandomEngine&, Outbox&);
    void suspectMember(MemberId, core::TimePoint now, Outbox&);
    void expireDeadlines(core::TimePoint now);
    core::Duration suspicionTimeout() const;
    int maxSendsPerRumor() const;
    Prober::LivePeers proberPeers() const;

    void join(core::TimePoint now, core::RandomEngine&, Outbox&);
    void askToJoin(const std::string& address, Outbox&) const;
    void pingLostMembers(core::TimePoint now, core::RandomEngine&, Outbox&);
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
    std::vector<MemberId> liveIds; // others that are not dead or left
    std::unordered_map<MemberId, std::size_t> liveIndex; // in `live`
    std::map<MemberId, Rumor> rumors;
    std::map<MemberId, core::TimePoint> missingRecords; // members that were asked for, and when
    BucketHashes hashes;
    Prober prober;
    core::TimePoint nextDeadline = core::TimePoint::max();
    core::TimePoint nextJoin = core::TimePoint::max();
    int joinAttempts = 0;
    core::TimePoint nextRejoin = core::TimePoint::max(); // of the join
    core::TimePoint nextGossip = core::TimePoint::max(); // of telling rumors
    core::TimePoint lastGossip {};
    core::TimePoint nextLostPing;
    core::TimePoint refreshDeadline = core::TimePoint::max();
    std::uint64_t changeCount = 0;
    bool hasJoined = false;
    bool needsRejoin = false; // once, for the members that joined at the same time
    bool isRefreshing = false;
    bool isSuperseded = false;
};

}
