// A planned stop while an upstream, which works slowly, has not yet read the rest of a request's body.

#include "cases.h"
#include "client.h"
#include "deployment.h"
#include "upstream.h"

namespace rig {

int bodyReadLate(bool hasTrouble, Record& record)
{
    const milliseconds usualWork { 710 };
    const milliseconds work = hasTrouble ? usualWork * 4 : usualWork;
    Store& store = *new Store; // never freed: its threads run until the end of the process
    store.put("config", "main", configurationText("r1", "huvo11a"));
    std::vector<Upstream*> upstreams; // never freed, either
    for (int i = 1; i <= 3; ++i) {
        upstreams.push_back(new Upstream(store, UpstreamOptions { .id = "i-" + std::to_string(i), .service = "huvo11a", .zone = "attiki-a", .work = work, .receiveBufferBytes = 8192, .readsBodyLate = true }));
        upstreams.back()->registerAs("ready");
    }
    Deployment deployment(store, { { "attiki-a", "attiki" } }, {});
    Vm& vm = deployment.add("front-1", "attiki-a");
    Vm& other = deployment.add("front-2", "attiki-a");
    if (!deployment.startAll()) {
        record.add("the entry VMs did not become ready");
        return notRun;
    }
    record.add("2 entry VMs are ready; an upstream works for " + std::to_string(work.count()) + " ms");
    std::this_thread::sleep_for(std::chrono::seconds(6));
    std::vector<std::thread> threads;
    std::vector<Reply> replies(4);
    vm.signal(SIGTERM);
    const Time stoppedAt = Clock::now();
    record.add("SIGTERM to front-1");
    std::this_thread::sleep_for(milliseconds(100));
    for (std::size_t i = 0; i < replies.size(); ++i) {
        threads.emplace_back([&, i] {
            ClientConnection connection(vm.addresses.callers);
            Request request { .method = "POST", .path = "/submit/x", .id = "order-" + std::to_string(i), .key = std::to_string(i), .body = std::string(60000, 'x') };
            replies[i] = connection.send(request);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    (void)other;
    int lost = 0;
    for (std::size_t i = 0; i < replies.size(); ++i) {
        const std::string id = "order-" + std::to_string(i);
        std::string at = "reached no upstream";
        bool hasReached = false;
        for (Upstream* upstream : upstreams) {
            for (const Arrival& arrival : upstream->arrivals()) {
                if (arrival.request != id)
                    continue;
                hasReached = true;
                at = "reached " + upstream->id() + (arrival.hasRun ? ", ran" : ", did not run") + (arrival.isAnswered ? ", was answered there" : ", " + arrival.end);
            }
        }
        const Reply& reply = replies[i];
        record.addAt(reply.endedAt, id + ": " + (reply.isWritten ? "written whole " : "not written whole ") + std::to_string(secondsBetween(stoppedAt, reply.writtenAt)) + " s after the signal, " + reply.text() + " " + std::to_string(secondsBetween(stoppedAt, reply.endedAt)) + " s after it; " + at);
        const bool isOwnAnswer = reply.result == ReadResult::Complete && reply.message.field("server-stamp").empty();
        if (hasReached && (isOwnAnswer || reply.result != ReadResult::Complete))
            ++lost;
    }
    return lost > 0 ? broken : held;
}

}
