#include "capacity/measures.h"

#include "wire/peer_codec.h"

#include <algorithm>
#include <array>
#include <malloc.h>

namespace cranberryshed::bench {

using namespace std::chrono_literals;

namespace {

    constexpr core::Duration settleTime = 20s;
    constexpr core::Duration measuredTime = 20s;

    std::size_t heapBytes()
    {
        const auto info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    core::Object object(const std::string& name, std::size_t bytes)
    {
        return { .kind = "target", .name = name, .version = { .revision = 1, .version = 1 }, .deleted = false, .content = std::string(bytes, 'x') };
    }

    template <typename Condition>
    bool onAll(Simulation& simulation, Condition condition)
    {
        for (int i = 0; i < simulation.members(); ++i) {
            if (simulation.runs(i) && !condition(i))
                return false;
        }
        return true;
    }

    std::optional<core::Duration> settle(Simulation& simulation)
    {
        simulation.start();
        const auto known = simulation.runUntil(
            [&] { return onAll(simulation, [&](int i) { return simulation.node(i).changes().members + 1 >= static_cast<std::uint64_t>(simulation.members()); }); }, 60s);
        simulation.run(settleTime);
        return known;
    }

    std::optional<core::Duration> reachAll(Simulation& simulation, core::Object content)
    {
        std::vector<std::uint64_t> before;
        before.reserve(static_cast<std::size_t>(simulation.members()));
        for (int i = 0; i < simulation.members(); ++i)
            before.push_back(simulation.node(i).changes().objects);
        simulation.publish(simulation.members() / 2, std::move(content));
        return simulation.runUntil(
            [&] { return onAll(simulation, [&](int i) { return simulation.node(i).changes().objects > before[static_cast<std::size_t>(i)]; }); }, 30s);
    }

    // The mean and the highest age of the sums that members hold, in seconds.
    std::pair<double, double> digestAges(Simulation& simulation)
    {
        double oldest = 0;
        double sum = 0;
        double count = 0;
        for (int i = 0; i < simulation.members(); ++i) {
            for (const core::DomainDigest& digest : simulation.node(i).snapshot(simulation.now()).digests) {
                const double age = std::chrono::duration<double>(simulation.now() - digest.measuredAt).count();
                oldest = std::max(oldest, age);
                sum += age;
                ++count;
            }
        }
        return { count > 0 ? sum / count : 0, oldest };
    }

    // Bytes that a member sends per second, by the body of the message.
    boost::json::object bytesByBody(const Simulation& simulation, core::Duration duration)
    {
        constexpr std::array<std::string_view, std::variant_size_v<fleet::Body>> names = { "ping", "ack", "pingRequest", "join", "joinReply", "recordsWanted",
            "records", "sync", "buckets", "memberBucket", "objectBucket", "objectPush", "objectAnnounce", "objectsWanted", "catalogueWanted", "loadReport",
            "digestPush", "digestsWanted", "namesWanted", "namesReply" };
        boost::json::object bodies { { "members", simulation.members() } };
        for (std::size_t i = 0; i < names.size(); ++i) {
            const auto bytes = static_cast<double>(simulation.bytesByBody()[i]);
            if (bytes > 0)
                bodies[names[i]] = round1(bytes / simulation.members() / std::chrono::duration<double>(duration).count());
        }
        return bodies;
    }

    double microsOf(int rounds, const std::function<void()>& action)
    {
        const auto before = threadTime();
        for (int i = 0; i < rounds; ++i)
            action();
        return round1(static_cast<double>((threadTime() - before).count()) / 1000 / rounds);
    }

}

void measureMembers(Report& report, int members)
{
    const std::size_t before = heapBytes();
    Simulation simulation({ .members = members, .domains = std::clamp(members / 2, 1, 13) });
    const auto known = settle(simulation);
    simulation.resetCosts();
    simulation.run(measuredTime);
    const std::size_t heap = heapBytes() - before;
    const auto [mean, oldest] = digestAges(simulation);
    report.costs("members",
        { { "members", members }, { "allKnownAfterSeconds", seconds(known) }, { "heapBytesPerMember", heap / static_cast<std::size_t>(members) },
            { "meanSumAgeSeconds", round1(mean) }, { "oldestSumAgeSeconds", round1(oldest) } },
        simulation, measuredTime);
    report.row("bytesSentPerSecond", bytesByBody(simulation, measuredTime));
    report.row("snapshot", { { "members", members }, { "micros", microsOf(20, [&] { simulation.node(0).snapshot(simulation.now()); }) } });
    const auto small = reachAll(simulation, object("small", 400));
    const auto large = reachAll(simulation, object("large", 200'000));
    report.row("changeReachesAll", { { "members", members }, { "loss", 0 }, { "smallSeconds", seconds(small) }, { "large200KBSeconds", seconds(large) } });
}

void measureChangesUnderLoss(Report& report, int members)
{
    Simulation simulation({ .members = members, .domains = std::min(13, members), .loss = 0.2 });
    settle(simulation);
    double worst = 0;
    for (int i = 0; i < 5; ++i)
        worst = std::max(worst, seconds(reachAll(simulation, object("change-" + std::to_string(i), 400))));
    const auto large = reachAll(simulation, object("large", 200'000));
    report.row("changeReachesAll", { { "members", members }, { "loss", 0.2 }, { "smallSeconds", worst }, { "large200KBSeconds", seconds(large) } });
}

void measureObjects(Report& report, int objects)
{
    constexpr int members = 30;
    const std::size_t before = heapBytes();
    Simulation simulation({ .members = members, .domains = 6, .classes = 0, .capacities = 0 });
    settle(simulation);
    for (int i = 0; i < objects; ++i)
        simulation.publish(i % members, object("object-" + std::to_string(i), 300));
    const auto wanted = static_cast<std::uint64_t>(objects);
    const auto known = simulation.runUntil([&] { return onAll(simulation, [&](int i) { return simulation.node(i).changes().objects >= wanted; }); }, 120s);
    simulation.run(settleTime);
    simulation.resetCosts();
    simulation.run(measuredTime);
    report.costs("objects",
        { { "members", members }, { "objects", objects }, { "contentBytes", 300 }, { "knownToAllAfterSeconds", seconds(known) },
            { "heapBytesPerMember", (heapBytes() - before) / members } },
        simulation, measuredTime);
    simulation.resetCosts();
    simulation.startOne(members - 1);
    const auto complete = simulation.runUntil([&] { return simulation.node(members - 1).changes().objects >= wanted; }, 60s);
    report.row("replacedMember", { { "members", members }, { "objects", objects }, { "completeAfterSeconds", seconds(complete) }, { "bytesReceived", simulation.costs().back().bytesIn } });
}

void measureDigests(Report& report, int classes, int capacities)
{
    Simulation simulation({ .members = 100, .domains = 13, .classes = classes, .capacities = capacities });
    settle(simulation);
    simulation.resetCosts();
    simulation.run(measuredTime);
    report.costs("digests", { { "members", 100 }, { "domains", 13 }, { "classes", classes }, { "capacities", capacities } }, simulation, measuredTime);
}

void measureEjections(Report& report, int ejections)
{
    Simulation simulation({ .members = 100, .domains = 13 });
    settle(simulation);
    simulation.resetCosts();
    for (int i = 0; i < ejections; ++i)
        simulation.publish(i % simulation.members(), fleet::Item { .kind = fleet::ItemKind::Ejection, .key = "server-" + std::to_string(i), .remaining = 60s, .content = "{}" });
    const auto wanted = static_cast<std::uint64_t>(ejections);
    const auto known = simulation.runUntil([&] { return onAll(simulation, [&](int i) { return simulation.node(i).changes().objects >= wanted; }); }, 40s);
    const core::Duration spreading = known.value_or(40s);
    simulation.run(10s);
    report.costs("ejections", { { "members", 100 }, { "ejectionsAtOnce", ejections }, { "knownToAllAfterSeconds", seconds(known) } }, simulation, spreading + 10s);
}

void measureFailures(Report& report, int members, int crashed)
{
    constexpr int domains = 13;
    Simulation simulation({ .members = members, .domains = domains });
    settle(simulation);
    for (int i = 0; i < crashed; ++i)
        simulation.crash(i * domains);
    simulation.resetCosts();
    const auto states = [&](auto accepts) {
        return [&simulation, crashed, accepts] {
            return onAll(simulation, [&](int i) {
                for (int victim = 0; victim < crashed; ++victim) {
                    const fleet::MemberRecord* member = simulation.node(i).member(simulation.idOf(victim * domains));
                    if (member && !accepts(member->fact.state))
                        return false;
                }
                return true;
            });
        };
    };
    const auto suspected = simulation.runUntil(states([](core::MemberState state) { return state != core::MemberState::Alive; }), 60s);
    const auto dead = simulation.runUntil(states([](core::MemberState state) { return state == core::MemberState::Dead; }), 60s);
    const core::Duration elapsed = suspected.value_or(60s) + dead.value_or(60s);
    report.costs("failures", { { "members", members }, { "crashed", crashed }, { "suspectedByAllSeconds", seconds(suspected) }, { "deadAtAllSeconds", seconds(elapsed) } }, simulation, elapsed);
}

void measurePartition(Report& report, int members)
{
    constexpr int regions = 4;
    Simulation simulation({ .members = members, .domains = 13 });
    settle(simulation);
    simulation.cut(members / regions);
    simulation.run(120s);
    simulation.cut(0);
    simulation.resetCosts();
    const auto merged = simulation.runUntil(
        [&] {
            return onAll(simulation, [&](int i) {
                for (int other = 0; other < members; ++other) {
                    const fleet::MemberRecord* member = simulation.node(i).member(simulation.idOf(other));
                    if (!member || member->fact.state != core::MemberState::Alive)
                        return false;
                }
                return true;
            });
        },
        120s);
    report.costs("partition", { { "members", members }, { "cutOff", members / regions }, { "cutSeconds", 120 }, { "mergedAfterSeconds", seconds(merged) } }, simulation, merged.value_or(120s));
}

void measureFalseDeaths(Report& report, int members)
{
    Simulation simulation({ .members = members, .domains = 13, .loss = 0.2 });
    settle(simulation);
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

void measureEncoding(Report& report)
{
    const auto measure = [&](std::string_view name, const fleet::Message& message, int rounds) {
        const auto bytes = wire::encodePeerMessage(message);
        const double encode = microsOf(rounds, [&] { wire::encodePeerMessage(message); });
        const double decode = microsOf(rounds, [&] { wire::decodePeerMessage(bytes); });
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
