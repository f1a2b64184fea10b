#include "capacity/measures.h"

#include "wire/asio.h"
#include "wire/peer_node.h"

#include <algorithm>

namespace cranberryshed::bench {

using namespace std::chrono_literals;

void measurePeers(CapacityReport& report, int members)
{
    boost::asio::io_context context;
    std::vector<std::unique_ptr<wire::PeerNode>> peers;
    for (int i = 0; i < members; ++i) {
        fleet::NodeOptions options { .fleet = "bench",
            .name = "entry-" + std::to_string(i),
            .peerAddress = "127.0.0.1:0",
            .callerAddress = "127.0.0.1:1",
            .region = "region-0",
            .domain = "domain-" + std::to_string(i % 3),
            .incarnation = core::Incarnation { 1 },
            .seeds = {},
            .randomSeed = static_cast<std::uint64_t>(i) };
        if (i > 0)
            options.seeds.push_back(peers[0]->address());
        peers.push_back(std::make_unique<wire::PeerNode>(context, options));
        peers.back()->start({});
    }
    context.run_for(2s);
    const auto messages = [&] {
        std::uint64_t total = 0;
        for (const auto& peer : peers)
            total += peer->counters().messagesIn + peer->counters().messagesOut;
        return total;
    };
    const std::uint64_t messagesBefore = messages();
    const auto cpuTimeBefore = threadCpuTime();
    context.run_for(4s);
    const double cpuMicros = static_cast<double>((threadCpuTime() - cpuTimeBefore).count()) / 1000;
    const auto messageCount = static_cast<double>(messages() - messagesBefore);
    report.row("loopback",
        { { "members", members }, { "messagesPerSecond", roundToTenths(messageCount / 4 / members) }, { "cpuMicrosPerSecond", roundToTenths(cpuMicros / 4 / members) },
            { "cpuMicrosPerMessage", roundToTenths(cpuMicros / std::max(messageCount, 1.0)) } });
    for (const auto& peer : peers)
        peer->stop();
    context.run_for(100ms);
}

}
