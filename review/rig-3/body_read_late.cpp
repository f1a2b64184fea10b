// A planned stop while upstreams that work on long requests have not yet read the rest of their bodies.

#include "cases.h"
#include "client.h"
#include "deployment.h"
#include "upstream.h"

namespace rig {

int bodyReadLate(bool hasTrouble, Record& record)
{
    constexpr int orders = 100;
    constexpr milliseconds betweenOrders { 12 };
    Store& store = *new Store; // never freed: its threads run until the end of the process
    store.put("config", "main", configurationText("r1", "huvo11a"));
    std::vector<Upstream*> upstreams; // never freed, either
    for (int i = 1; i <= 24; ++i) {
        upstreams.push_back(new Upstream(store, UpstreamOptions { .id = "i-" + std::to_string(i), .service = "huvo11a", .zone = "attiki-a", .work = milliseconds(710), .longEvery = 33, .receiveBufferBytes = 8192, .readsBodyLate = true }));
        upstreams.back()->registerAs("ready");
    }
    Deployment deployment(store, { { "attiki-a", "attiki" } }, {});
    Vm& vm = deployment.add("front-1", "attiki-a");
    deployment.add("front-2", "attiki-a");
    deployment.add("front-3", "attiki-a");
    if (!deployment.startAll()) {
        record.add("the entry VMs did not become ready");
        return notRun;
    }
    record.add("3 entry VMs are ready, with 24 upstreams; 3 in 100 orders take 2.84 s, the others 0.71 s");
    std::this_thread::sleep_for(std::chrono::seconds(6));
    if (hasTrouble)
        vm.signal(SIGTERM);
    const Time stoppedAt = Clock::now();
    record.addAt(stoppedAt, hasTrouble ? "SIGTERM to front-1" : "no signal");
    std::vector<std::thread> threads;
    std::vector<Reply> replies(orders);
    for (int i = 0; i < orders; ++i) {
        std::this_thread::sleep_for(betweenOrders);
        threads.emplace_back([&, i] {
            ClientConnection connection(vm.addresses.callers);
            replies[static_cast<std::size_t>(i)] = connection.send({ .method = "POST", .path = "/submit/x", .id = "order-" + std::to_string(i + 1), .key = std::to_string(i % 29), .body = std::string(60000, 'x') });
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    std::map<std::string, std::string> ends; // by request: where it arrived, and what became of it there
    for (Upstream* upstream : upstreams) {
        for (const Arrival& arrival : upstream->arrivals()) {
            if (arrival.hasRun)
                ends[arrival.request] += upstream->id() + " began to work on it, " + (arrival.isAnswered ? "and answered" : "and has not answered") + "; ";
        }
    }
    int lost = 0;
    std::map<std::string, int> counts;
    for (int i = 0; i < orders; ++i) {
        const std::string id = "order-" + std::to_string(i + 1);
        const Reply& reply = replies[static_cast<std::size_t>(i)];
        ++counts[reply.text()];
        const bool isOwnAnswer = reply.result == ReadResult::Complete && reply.message.field("server-stamp").empty();
        if (!ends.contains(id) || (reply.result == ReadResult::Complete && !isOwnAnswer))
            continue;
        record.addAt(reply.endedAt, id + ": written whole " + std::to_string(secondsBetween(stoppedAt, reply.writtenAt)) + " s after the start, ended with " + reply.text() + " " + std::to_string(secondsBetween(reply.writtenAt, reply.endedAt)) + " s later; " + ends[id]);
        ++lost;
    }
    for (const auto& [text, count] : counts)
        record.add(std::to_string(count) + " orders: " + text);
    record.add(std::to_string(lost) + " orders on which an upstream had begun to work ended without its answer");
    // Without a SIGTERM, an answer of the entry VM's own breaks no rule.
    return hasTrouble && lost > 0 ? broken : held;
}

}
