// Servers whose entry is removed shortly after the store has cut off the waiting watches.

#include "cases.h"
#include "client.h"
#include "deployment.h"
#include "upstream.h"

namespace rig {

int removalAfterCutWatch(bool hasTrouble, Record& record)
{
    constexpr milliseconds drain { 2000 };
    constexpr milliseconds serveLonger { 400 }; // a leaving upstream ends this long after drain
    constexpr milliseconds cutBeforeRemoval { 80 };
    constexpr std::size_t rounds = 6;
    constexpr std::size_t leavingPerRound = 3;
    constexpr std::size_t upstreamCount = 24;
    Store& store = *new Store; // never freed: its threads run until the end of the process
    store.put("config", "main", configurationText("r1", "huvo11a"));
    std::vector<Upstream*> upstreams; // never freed, either
    for (std::size_t i = 0; i < upstreamCount; ++i) {
        upstreams.push_back(new Upstream(store, UpstreamOptions { .id = "i-" + std::to_string(i + 1), .service = "huvo11a", .zone = i % 2 ? "attiki-a" : "attiki-b", .work = milliseconds(540) }));
        upstreams.back()->registerAs("ready");
    }
    Deployment deployment(store, { { "attiki-a", "attiki" }, { "attiki-b", "attiki" } }, {});
    std::vector<std::uint16_t> ports;
    for (int i = 1; i <= 9; ++i)
        ports.push_back(deployment.add("front-" + std::to_string(i), i % 2 ? "attiki-a" : "attiki-b").addresses.callers);
    if (!deployment.startAll()) {
        record.add("the entry VMs did not become ready");
        return notRun;
    }
    record.add("9 entry VMs are ready, with " + std::to_string(upstreams.size()) + " upstreams");
    std::this_thread::sleep_for(std::chrono::seconds(6));
    Load load(ports, 6, milliseconds(300));
    std::this_thread::sleep_for(std::chrono::seconds(5));
    int late = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        const std::vector<Upstream*> leaving(upstreams.begin() + static_cast<std::ptrdiff_t>(round * leavingPerRound), upstreams.begin() + static_cast<std::ptrdiff_t>((round + 1) * leavingPerRound));
        if (hasTrouble)
            record.add("the store cuts off " + std::to_string(store.cutWatches()) + " waiting watches");
        std::this_thread::sleep_for(cutBeforeRemoval);
        std::vector<Time> removedAt;
        for (Upstream* upstream : leaving) {
            upstream->leave();
            removedAt.push_back(upstream->removeEntry());
        }
        std::this_thread::sleep_until(removedAt.back() + drain + serveLonger);
        for (std::size_t i = 0; i < leaving.size(); ++i) {
            leaving[i]->end();
            int all = 0;
            for (const Arrival& arrival : leaving[i]->arrivals()) {
                if (arrival.at <= removedAt[i])
                    continue;
                ++all;
                if (arrival.at <= removedAt[i] + drain)
                    continue;
                ++late;
                record.addAt(arrival.at, "request " + arrival.request + " reached " + leaving[i]->id() + " " + std::to_string(secondsBetween(removedAt[i], arrival.at)) + " s after its removal" + (arrival.hasRun ? ", ran" : "") + (arrival.isAnswered ? ", was answered" : ", was not answered"));
            }
            record.addAt(removedAt[i], leaving[i]->id() + " removed from the store: " + std::to_string(all) + " requests after that");
        }
        std::this_thread::sleep_for(std::chrono::seconds(8));
    }
    load.stop();
    std::map<std::string, int> replies;
    for (const Load::Sent& sent : load.sent())
        ++replies[sent.request.method + " " + sent.reply.text()];
    for (const auto& [text, count] : replies)
        record.add(std::to_string(count) + " x " + text);
    record.add(std::to_string(late) + " requests reached an upstream later than drain (2000 ms) after its removal");
    return late > 0 ? broken : held;
}

}
