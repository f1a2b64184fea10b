#pragma once

#include "fleet/messages.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::fleet {

// Probes one live member each second, in an order that visits all before it visits one again.
//
// A probe fails only after three direct pings and six indirect ones in 1.8 s went without an answer:
// with 20 % of datagrams lost that happens to 0.2 % of the probes of a healthy member.
class Prober {
public:
    struct Target {
        MemberId id {};
        std::string address;
    };

    explicit Prober(core::TimePoint now);

    // What the prober needs to know about the live members.
    struct LivePeers {
        const std::vector<MemberId>& ids;
        std::function<std::string(MemberId)> addressOf; // empty: not known any more
    };

    // Sends what is due. Returns the members whose probe failed.
    std::vector<MemberId> onTimer(const LivePeers&, core::TimePoint now, core::RandomEngine&, Outbox&);
    core::TimePoint nextTimer() const;

    // Pings a member outside the order, for example one that is held for dead. A failure has no consequence.
    void ping(const std::string& address, const std::vector<MemberFact>& facts, Outbox&);

    void onAck(const Ack&, Outbox&);
    void onPingRequest(Context&, const PingRequest&, core::TimePoint now);
    void onMessageFrom(MemberId); // any message from a member ends its probe

    // Forgets probes under way, because their time passed while this process was paused.
    void reset(core::TimePoint now);

private:
    struct Probe {
        Target target;
        std::uint32_t sequence = 0;
        int stepsSent = 0;
        core::TimePoint nextStepAt {};
    };
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

    std::vector<MemberId> probeOrder; // still to be probed in this round
    std::vector<Probe> probes;
    std::vector<Relay> relays;
    std::uint32_t nextSequence = 1;
    core::TimePoint nextProbe;
};

}
