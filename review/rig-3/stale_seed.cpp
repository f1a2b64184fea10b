// An entry VM is added with a stale seed: the address is by now that of an entry VM of the users' other deployment.

#include "cases.h"
#include "client.h"
#include "deployment.h"
#include "upstream.h"

namespace rig {

int staleSeed(bool hasTrouble, Record& record)
{
    constexpr int allowedRefusals = 10;
    const std::string otherHost = "kuvo31.example";
    // Never freed: their threads run until the end of the process.
    Store& store = *new Store;
    Store& otherStore = *new Store;
    store.put("config", "main", configurationText("r7", "huvo11a"));
    otherStore.put("config", "main", configurationText("r40", "lemi72b", otherHost));
    Upstream& upstream = *new Upstream(store, UpstreamOptions { .id = "i-1", .service = "huvo11a", .zone = "attiki-a", .work = milliseconds(20) });
    Upstream& otherUpstream = *new Upstream(otherStore, UpstreamOptions { .id = "j-1", .service = "lemi72b", .zone = "jyl-a", .work = milliseconds(20) });
    upstream.registerAs("ready");
    otherUpstream.registerAs("ready");

    Deployment schools(store, { { "attiki-a", "attiki" }, { "attiki-b", "attiki" } }, {});
    Deployment foundry(otherStore, { { "jyl-a", "jyl" }, { "jyl-b", "jyl" } }, {});
    // The third seed of the schools: a machine that has been removed for good. Its address is free or has been given to a
    // machine of the foundry.
    const VmAddresses removedMachine;
    schools.extraSeed = addressText(removedMachine.peers);
    schools.add("front-attiki-a-1", "attiki-a");
    schools.add("front-attiki-b-1", "attiki-b");
    foundry.add("front-jyl-a-1", "jyl-a");
    foundry.add("front-jyl-b-1", "jyl-b", hasTrouble ? removedMachine : VmAddresses {});
    if (!foundry.startAll() || !schools.startAll()) {
        record.add("the entry VMs did not become ready");
        return notRun;
    }
    record.add("2 entry VMs of the schools (configuration r7) and 2 of the foundry (r40) are ready");
    int refusals = 0;
    std::map<std::string, int> replies;
    std::vector<std::unique_ptr<ClientConnection>> clients;
    for (const auto& vm : schools.vms)
        clients.push_back(std::make_unique<ClientConnection>(vm->addresses.callers));
    std::string last;
    for (int i = 0; i < 400; ++i) {
        const std::size_t vm = static_cast<std::size_t>(i) % clients.size();
        const Request request { .method = i % 4 < 2 ? "GET" : "POST", .path = i % 4 < 2 ? "/fetch/x" : "/submit/x", .id = "s-" + std::to_string(i), .body = i % 4 < 2 ? "" : "homework" };
        const Reply reply = clients[vm]->send(request);
        ++replies[schools.vms[vm]->name + " answers " + reply.text()];
        refusals += reply.text() == "404" ? 1 : 0;
        if (std::exchange(last, reply.text()) != reply.text())
            record.addAt(reply.endedAt, schools.vms[vm]->name + ": " + request.method + " " + request.path + " " + request.id + ": " + reply.text() + " " + reply.message.body);
        std::this_thread::sleep_for(milliseconds(50));
    }
    for (const auto& [text, count] : replies)
        record.add(std::to_string(count) + " x " + text);
    record.add(std::to_string(refusals) + " requests to the schools that every configuration of theirs allows were answered 404; " + std::to_string(allowedRefusals) + " are allowed");
    return refusals > allowedRefusals ? broken : held;
}

}
