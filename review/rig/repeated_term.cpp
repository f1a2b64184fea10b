// An operator sends SIGTERM twice while orders run.

#include "cases.h"

namespace rig {

int repeatedTerm(Record& record)
{
    constexpr int deadlineMs = 2500;
    Store& store = *new Store; // lives as long as the process, like its threads
    writeConfiguration(store, { { "r-order", "/order/", "unsafe", "ledger" } });
    for (int i = 1; i <= 4; ++i)
        new Upstream({ .id = "i-ledger-" + std::to_string(i), .service = "ledger", .zone = i % 2 == 0 ? "jyl-b" : "jyl-a", .work = [](const Message&) { return Ms(1500); } }, store, record);
    Fleet fleet(store, 2, {}, record);
    if (!fleet.waitUntilReady())
        return couldNotRun;
    std::vector<std::thread> clients;
    for (int i = 0; i < 6; ++i) {
        clients.emplace_back([&] {
            Connection connection;
            const std::string id = newRequestId();
            record.sent(id, "POST", "/order/7");
            record.answered(id, exchange(connection, fleet.vms[0], requestText("POST", "/order/7", id, deadlineMs, "one bell"), deadlineMs));
        });
    }
    std::this_thread::sleep_for(Ms(300));
    fleet.signal(fleet.vms[0], SIGTERM, "SIGTERM");
    std::this_thread::sleep_for(Ms(400));
    if (hasTrouble())
        fleet.signal(fleet.vms[0], SIGTERM, "SIGTERM");
    for (std::thread& client : clients)
        client.join();
    const std::scoped_lock lock(record.mutex);
    int lost = 0;
    for (const auto& [id, status] : record.answers)
        lost += status == 0 ? 1 : 0;
    std::printf("%d of 6 orders lost\n", lost);
    return lost > 0 ? ruleBroken : ruleHeld;
}

}
