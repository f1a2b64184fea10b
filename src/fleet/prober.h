#pragma once

#include "fleet/messages.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::fleet {

// Probes one live member each second, in random rounds: every live member is probed once per round.
//
// A probe fails only if three direct and six indirect pings within 1.8 s stay unanswered. With 20 % of the datagrams
// lost, 0.2 % of the probes of a healthy member fail.
class Prober {
public:
    struct Target {
        MemberId id {};
        std::string address;
    };

    explicit Prober(core::TimePoint now);

    // The live members, without this one, and their addresses.
    struct LivePeers {
        const std::vector<MemberId>& ids;
        std::function<std::string(MemberId)> addressOf; // empty if the member is no longer live
    };

    // Sends the pings that are due. Returns the members whose probe failed.
    std::vector<MemberId> onTimer(const LivePeers&, core::TimePoint now, core::RandomEngine&, Outbox&);
    core::TimePoint nextTimer() const;

    // Pings an address outside the regular order, for example that of a dead member. Nothing follows from a missing
    // acknowledgement.
    void ping(const std::string& address, const std::vector<MemberFact>& facts, Outbox&);

    void onAck(const Ack&, Outbox&);
    void onPingRequest(Context&, const PingRequest&, core::TimePoint now);
    void onMessageFrom(MemberId); // a message from a member ends its probe

    // Discards pending probes, because their timeouts passed while this process was paused.
    void reset(core::TimePoint now);

private:
    struct Probe {
        Target target;
        std::uint32_t sequence = 0;
        int stepsSent = 0;
        core::TimePoint nextStepAt {};
    };
    // A ping on behalf of another member, whose acknowledgement is relayed to it.
    struct Relay {
        std::uint32_t sequence = 0;
        std::uint32_t requesterSequence = 0;
        MemberId target {};
        std::string requester;
        core::TimePoint expiresAt {};
    };

    std::optional<Target> nextTarget(const LivePeers&, core::RandomEngine&);
    bool advance(Probe&, const LivePeers&, core::TimePoint now, core::RandomEngine&, Outbox&);
    static void sendPingRequests(const Probe&, const LivePeers&, core::RandomEngine&, Outbox&);

    std::vector<MemberId> probeOrder; // members still to be probed in this round, last first
    std::vector<Probe> probes;
    std::vector<Relay> relays;
    std::uint32_t nextSequence = 1;
    core::TimePoint nextProbe;
};

}
