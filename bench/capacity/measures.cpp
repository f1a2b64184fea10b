#include "capacity/measures.h"

#include "wire/peer_codec.h"

#include <algorithm>
#include <array>
#include <malloc.h>

namespace cranberryshed::bench {

using namespace std::chrono_literals;

namespace {

    constexpr core::Duration settleDuration = 20s;
    constexpr core::Duration measuredDuration = 20s;

    std::size_t heapBytesInUse()
    {
        const auto info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    core::Object object(const std::string& name, std::size_t bytes)
    {
        return { .kind = "target", .name = name, .version = { .revision = 1, .version = 1 }, .deleted = false, .content = std::string(bytes, 'x') };
    }

    template <typename Condition>
    bool holdsOnAll(GossipSimulation& simulation, Condition condition)
    {
        for (int i = 0; i < simulation.memberCount(); ++i) {
            if (simulation.isRunning(i) && !condition(i))
                return false;
        }
        return true;
    }

    // Starts all members and waits until the fleet is quiet. Returns the time until each member knew all others.
    std::optional<core::Duration> startAndSettle(GossipSimulation& simulation)
    {
        simulation.start();
        const auto knownAfter = simulation.runUntil(
            [&] { return holdsOnAll(simulation, [&](int i) { return simulation.node(i).changes().members + 1 >= static_cast<std::uint64_t>(simulation.memberCount()); }); }, 60s);
        simulation.run(settleDuration);
        return knownAfter;
    }

    // Publishes an object at one member. Returns the time until all members have it.
    std::optional<core::Duration> timeToReachAll(GossipSimulation& simulation, core::Object content)
    {
        std::vector<std::uint64_t> before;
        before.reserve(static_cast<std::size_t>(simulation.memberCount()));
        for (int i = 0; i < simulation.memberCount(); ++i)
            before.push_back(simulation.node(i).changes().objects);
        simulation.publish(simulation.memberCount() / 2, std::move(content));
        return simulation.runUntil(
            [&] { return holdsOnAll(simulation, [&](int i) { return simulation.node(i).changes().objects > before[static_cast<std::size_t>(i)]; }); }, 30s);
    }

    // Returns the mean and the highest age of the domain digests that members hold, in seconds.
    std::pair<double, double> digestAges(GossipSimulation& simulation)
    {
        double oldest = 0;
        double sum = 0;
        double count = 0;
        for (int i = 0; i < simulation.memberCount(); ++i) {
            for (const core::DomainDigest& digest : simulation.node(i).snapshot(simulation.now()).digests) {
                const double age = std::chrono::duration<double>(simulation.now() - digest.measuredAt).count();
                oldest = std::max(oldest, age);
                sum += age;
                ++count;
            }
        }
        return { count > 0 ? sum / count : 0, oldest };
    }

    // Returns the bytes that a member sends per second, by message body.
    boost::json::object bytesByBody(const GossipSimulation& simulation, core::Duration duration)
    {
        constexpr std::array<std::string_view, std::variant_size_v<fleet::Body>> names = { "ping", "ack", "pingRequest", "join", "joinReply", "recordsWanted",
            "records", "sync", "buckets", "memberBucket", "objectBucket", "objectPush", "objectAnnounce", "objectsWanted", "catalogueWanted", "loadReport",
            "digestPush", "digestsWanted", "namesWanted", "namesReply" };
        boost::json::object bodies { { "members", simulation.memberCount() } };
        for (std::size_t i = 0; i < names.size(); ++i) {
            const auto bytes = static_cast<double>(simulation.bytesSentByBody()[i]);
            if (bytes > 0)
                bodies[names[i]] = roundToTenths(bytes / simulation.memberCount() / std::chrono::duration<double>(duration).count());
        }
        return bodies;
    }

    double meanMicros(int rounds, const std::function<void()>& action)
    {
        const auto before = threadCpuTime();
        for (int i = 0; i < rounds; ++i)
            action();
        return roundToTenths(static_cast<double>((threadCpuTime() - before).count()) / 1000 / rounds);
    }

}

void measureMembers(CapacityReport& report, int members)
{
    const std::size_t heapBefore = heapBytesInUse();
    GossipSimulation simulation({ .memberCount = members, .domainCount = std::clamp(members / 2, 1, 13) });
    const auto knownAfter = startAndSettle(simulation);
    simulation.resetCosts();
    simulation.run(measuredDuration);
    const std::size_t heap = heapBytesInUse() - heapBefore;
    const auto [mean, oldest] = digestAges(simulation);
    report.costs("members",
        { { "members", members }, { "allKnownAfterSeconds", seconds(knownAfter) }, { "heapBytesPerMember", heap / static_cast<std::size_t>(members) },
            { "meanSumAgeSeconds", roundToTenths(mean) }, { "oldestSumAgeSeconds", roundToTenths(oldest) } },
        simulation, measuredDuration);
    report.row("bytesSentPerSecond", bytesByBody(simulation, measuredDuration));
    report.row("snapshot", { { "members", members }, { "micros", meanMicros(20, [&] { simulation.node(0).snapshot(simulation.now()); }) } });
    const auto smallAfter = timeToReachAll(simulation, object("small", 400));
    const auto largeAfter = timeToReachAll(simulation, object("large", 200'000));
    report.row("changeReachesAll", { { "members", members }, { "loss", 0 }, { "smallSeconds", seconds(smallAfter) }, { "large200KBSeconds", seconds(largeAfter) } });
}

void measureChangesUnderLoss(CapacityReport& report, int members)
{
    GossipSimulation simulation({ .memberCount = members, .domainCount = std::min(13, members), .lossProbability = 0.2 });
    startAndSettle(simulation);
    double worst = 0;
    for (int i = 0; i < 5; ++i)
        worst = std::max(worst, seconds(timeToReachAll(simulation, object("change-" + std::to_string(i), 400))));
    const auto largeAfter = timeToReachAll(simulation, object("large", 200'000));
    report.row("changeReachesAll", { { "members", members }, { "loss", 0.2 }, { "smallSeconds", worst }, { "large200KBSeconds", seconds(largeAfter) } });
}

void measureObjects(CapacityReport& report, int objects)
{
    constexpr int members = 30;
    const std::size_t heapBefore = heapBytesInUse();
    GossipSimulation simulation({ .memberCount = members, .domainCount = 6, .classCount = 0, .capacityCount = 0 });
    startAndSettle(simulation);
    for (int i = 0; i < objects; ++i)
        simulation.publish(i % members, object("object-" + std::to_string(i), 300));
    const auto expectedObjects = static_cast<std::uint64_t>(objects);
    const auto knownAfter = simulation.runUntil([&] { return holdsOnAll(simulation, [&](int i) { return simulation.node(i).changes().objects >= expectedObjects; }); }, 120s);
    simulation.run(settleDuration);
    simulation.resetCosts();
    simulation.run(measuredDuration);
    report.costs("objects",
        { { "members", members }, { "objects", objects }, { "contentBytes", 300 }, { "knownToAllAfterSeconds", seconds(knownAfter) },
            { "heapBytesPerMember", (heapBytesInUse() - heapBefore) / members } },
        simulation, measuredDuration);
    simulation.resetCosts();
    simulation.startMember(members - 1);
    const auto completeAfter = simulation.runUntil([&] { return simulation.node(members - 1).changes().objects >= expectedObjects; }, 60s);
    report.row("replacedMember", { { "members", members }, { "objects", objects }, { "completeAfterSeconds", seconds(completeAfter) }, { "bytesReceived", simulation.costs().back().bytesIn } });
}

void measureDigests(CapacityReport& report, int classes, int capacities)
{
    GossipSimulation simulation({ .memberCount = 100, .domainCount = 13, .classCount = classes, .capacityCount = capacities });
    startAndSettle(simulation);
    simulation.resetCosts();
    simulation.run(measuredDuration);
    report.costs("digests", { { "members", 100 }, { "domains", 13 }, { "classes", classes }, { "capacities", capacities } }, simulation, measuredDuration);
}

void measureEjections(CapacityReport& report, int ejections)
{
    GossipSimulation simulation({ .memberCount = 100, .domainCount = 13 });
    startAndSettle(simulation);
    simulation.resetCosts();
    for (int i = 0; i < ejections; ++i)
        simulation.publish(i % simulation.memberCount(), fleet::Item { .kind = fleet::ItemKind::Ejection, .key = "server-" + std::to_string(i), .remaining = 60s, .content = "{}" });
    const auto expectedObjects = static_cast<std::uint64_t>(ejections);
    const auto knownAfter = simulation.runUntil([&] { return holdsOnAll(simulation, [&](int i) { return simulation.node(i).changes().objects >= expectedObjects; }); }, 40s);
    const core::Duration spreadDuration = knownAfter.value_or(40s);
    simulation.run(10s);
    report.costs("ejections", { { "members", 100 }, { "ejectionsAtOnce", ejections }, { "knownToAllAfterSeconds", seconds(knownAfter) } }, simulation, spreadDuration + 10s);
}

void measureFailures(CapacityReport& report, int members, int crashedCount)
{
    constexpr int domains = 13;
    GossipSimulation simulation({ .memberCount = members, .domainCount = domains });
    startAndSettle(simulation);
    for (int i = 0; i < crashedCount; ++i)
        simulation.crash(i * domains);
    simulation.resetCosts();
    const auto allVictimsAre = [&](auto accepts) {
        return [&simulation, crashedCount, accepts] {
            return holdsOnAll(simulation, [&](int i) {
                for (int victim = 0; victim < crashedCount; ++victim) {
                    const fleet::MemberRecord* member = simulation.node(i).member(simulation.memberId(victim * domains));
                    if (member && !accepts(member->fact.state))
                        return false;
                }
                return true;
            });
        };
    };
    const auto suspectedAfter = simulation.runUntil(allVictimsAre([](core::MemberState state) { return state != core::MemberState::Alive; }), 60s);
    const auto deadAfter = simulation.runUntil(allVictimsAre([](core::MemberState state) { return state == core::MemberState::Dead; }), 60s);
    const core::Duration elapsed = suspectedAfter.value_or(60s) + deadAfter.value_or(60s);
    report.costs("failures", { { "members", members }, { "crashed", crashedCount }, { "suspectedByAllSeconds", seconds(suspectedAfter) }, { "deadAtAllSeconds", seconds(elapsed) } }, simulation, elapsed);
}

void measurePartition(CapacityReport& report, int members)
{
    constexpr int regions = 4;
    GossipSimulation simulation({ .memberCount = members, .domainCount = 13 });
    startAndSettle(simulation);
    simulation.partition(members / regions);
    simulation.run(120s);
    simulation.partition(0);
    simulation.resetCosts();
    const auto mergedAfter = simulation.runUntil(
        [&] {
            return holdsOnAll(simulation, [&](int i) {
                for (int other = 0; other < members; ++other) {
                    const fleet::MemberRecord* member = simulation.node(i).member(simulation.memberId(other));
                    if (!member || member->fact.state != core::MemberState::Alive)
                        return false;
                }
                return true;
            });
        },
        120s);
    report.costs("partition", { { "members", members }, { "cutOff", members / regions }, { "cutSeconds", 120 }, { "mergedAfterSeconds", seconds(mergedAfter) } }, simulation, mergedAfter.value_or(120s));
}

void measureFalseDeaths(CapacityReport& report, int members)
{
    GossipSimulation simulation({ .memberCount = members, .domainCount = 13, .lossProbability = 0.2 });
    startAndSettle(simulation);
    simulation.resetCosts();
    int suspicions = 0;
    int deaths = 0;
    for (int second = 0; second < 300; ++second) {
        simulation.run(1s);
        const auto snapshot = simulation.node(second % members).snapshot(simulation.now());
        for (const auto& member : snapshot.members) {
            suspicions += member.fact.state == core::MemberState::Suspect;
            deaths += member.fact.state == core::MemberState::Dead;
        }
    }
    report.costs("falseDeaths", { { "members", members }, { "loss", 0.2 }, { "seconds", 300 }, { "suspectsSeen", suspicions }, { "deadSeen", deaths } }, simulation, 300s);
}

void measureEncoding(CapacityReport& report)
{
    const auto measure = [&](std::string_view name, const fleet::Message& message, int rounds) {
        const auto bytes = wire::encodePeerMessage(message);
        const double encode = meanMicros(rounds, [&] { wire::encodePeerMessage(message); });
        const double decode = meanMicros(rounds, [&] { wire::decodePeerMessage(bytes); });
        report.row("encoding", { { "body", name }, { "bytes", bytes.size() }, { "encodeMicros", encode }, { "decodeMicros", decode } });
    };
    measure("ping", { .fleet = 1, .body = fleet::Ping { 1 } }, 20000);
    const fleet::Sync sync { .members = 1, .objects = 2, .digests = std::vector<fleet::Sync::DigestAge>(13) };
    measure("sync", { .fleet = 1, .body = sync }, 20000);
    const fleet::PackedDigest digest { .members = 35, .classes = std::vector<fleet::PackedClass>(8), .capacities = std::vector<fleet::PackedCapacity>(12) };
    measure("digestPush of 3", { .fleet = 1, .body = fleet::DigestPush { { digest, digest, digest } } }, 20000);
    const auto large = std::make_shared<const core::Object>(object("large", 1U << 20U));
    measure("objectPush 1 MiB", { .fleet = 1, .body = fleet::ObjectPush { { { .object = large } } } }, 50);
}

}
