// Servers whose entry is removed shortly after the store has cut off the waiting watches.

#include "cases.h"
#include "client.h"
#include "deployment.h"
#include "upstream.h"

namespace rig {

int removalAfterCutWatch(bool hasTrouble, Record& record)
{
    constexpr milliseconds drain { 2000 };
    constexpr milliseconds serveLonger { 200 }; // a leaving upstream ends this long after drain
    constexpr milliseconds cutBeforeRemoval { 80 };
    constexpr int rounds = 5;
    Store& store = *new Store; // never freed: its threads run until the end of the process
    store.put("config", "main", configurationText("r1", "huvo11a"));
    std::vector<Upstream*> upstreams; // never freed, either
    const auto addUpstream = [&](int number) {
        upstreams.push_back(new Upstream(store, UpstreamOptions { .id = "i-" + std::to_string(number), .service = "huvo11a", .zone = number % 2 ? "attiki-a" : "attiki-b", .work = milliseconds(120) }));
        upstreams.back()->registerAs("ready");
    };
    for (int i = 1; i <= 4 + rounds; ++i)
        addUpstream(i);
    Deployment deployment(store, { { "attiki-a", "attiki" }, { "attiki-b", "attiki" } }, {});
    std::vector<std::uint16_t> ports;
    for (int i = 1; i <= 3; ++i)
        ports.push_back(deployment.add("front-" + std::to_string(i), i % 2 ? "attiki-a" : "attiki-b").addresses.callers);
    if (!deployment.startAll()) {
        record.add("the entry VMs did not become ready");
        return notRun;
    }
    record.add("3 entry VMs are ready, with " + std::to_string(upstreams.size()) + " upstreams");
    std::this_thread::sleep_for(std::chrono::seconds(6));
    Load load(ports, 6, milliseconds(30));
    std::this_thread::sleep_for(std::chrono::seconds(4));
    bool isBroken = false;
    for (int round = 0; round < rounds; ++round) {
        Upstream& leaving = *upstreams[static_cast<std::size_t>(round)];
        if (hasTrouble)
            record.add("the store cuts off " + std::to_string(store.cutWatches()) + " waiting watches");
        std::this_thread::sleep_for(cutBeforeRemoval);
        const Time removedAt = leaving.removeEntry();
        record.addAt(removedAt, "the store has removed the entry of " + leaving.id());
        std::this_thread::sleep_until(removedAt + drain + serveLonger);
        leaving.end();
        record.add(leaving.id() + " has ended, " + std::to_string((drain + serveLonger).count()) + " ms after the removal");
        int late = 0;
        int all = 0;
        for (const Arrival& arrival : leaving.arrivals()) {
            if (arrival.at <= removedAt)
                continue;
            ++all;
            if (arrival.at <= removedAt + drain)
                continue;
            ++late;
            record.addAt(arrival.at, "request " + arrival.request + " reached " + leaving.id() + " " + std::to_string(secondsBetween(removedAt, arrival.at)) + " s after the removal" + (arrival.hasRun ? ", ran" : "") + (arrival.isAnswered ? ", was answered" : ", was not answered"));
        }
        record.add(leaving.id() + ": " + std::to_string(all) + " requests after its removal, " + std::to_string(late) + " of them later than drain (2000 ms)");
        isBroken = isBroken || late > 0;
        std::this_thread::sleep_for(std::chrono::seconds(6));
    }
    load.stop();
    std::map<std::string, int> replies;
    for (const Load::Sent& sent : load.sent())
        ++replies[sent.request.method + " " + sent.reply.text()];
    for (const auto& [text, count] : replies)
        record.add(std::to_string(count) + " x " + text);
    return isBroken ? broken : held;
}

}
