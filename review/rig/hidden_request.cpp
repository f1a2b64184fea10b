// A client hides a request in the body of another one, whose Connection field lists Content-Length.

#include "cases.h"

namespace rig {

int hiddenRequest(Record& record)
{
    constexpr int deadlineMs = 2500;
    Store& store = *new Store; // lives as long as the process, like its threads
    writeConfiguration(store, { { "r-order", "/order/", "unsafe", "ledger" }, { "r-lookup", "/lookup/", "safe", "ledger" } });
    for (int i = 1; i <= 4; ++i)
        new Upstream({ .id = "i-ledger-" + std::to_string(i), .service = "ledger", .zone = i % 2 == 0 ? "jyl-b" : "jyl-a" }, store, record); // lives as long as the process
    Fleet fleet(store, 2, {}, record);
    if (!fleet.waitUntilReady())
        return couldNotRun;

    std::string hiddenIds;
    Connection connection;
    int answered = 0;
    for (int i = 0; i < 20; ++i) {
        const EntryVm& vm = fleet.vms[static_cast<std::size_t>(i) % fleet.vms.size()];
        connection.close();
        // The text of the hidden request is the body of an order. Its id was never sent as a request of its own.
        const std::string hidden = requestText("POST", "/order/hidden", "hidden-" + std::to_string(i), deadlineMs, "one bell more");
        const std::string id = newRequestId();
        const std::string fields = hasTrouble() ? "Connection: Content-Length\r\n" : "Connection: keep-alive\r\n";
        record.sent(id, "POST", "/order/7");
        const Message answer = exchange(connection, vm, requestText("POST", "/order/7", id, deadlineMs, hidden, fields), deadlineMs);
        record.answered(id, answer);
        answered += answer.complete ? 1 : 0;
        std::this_thread::sleep_for(Ms(100));
    }
    std::this_thread::sleep_for(Ms(1500));
    if (answered == 0)
        return couldNotRun;

    const std::scoped_lock lock(record.mutex);
    bool broken = false;
    for (const auto& [id, runs] : record.runs)
        broken |= !record.sentIds.contains(id);
    return broken ? ruleBroken : ruleHeld;
}

}
