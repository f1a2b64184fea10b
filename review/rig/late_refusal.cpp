// Upstreams turn away a part of the orders, and some of them send a second copy of a few answers late, where the next
// answer on the connection is expected.

#include "cases.h"
#include "random.h"

namespace rig {

int lateRefusal(Record& record)
{
    constexpr int deadlineMs = 2500;
    constexpr double shedShare = 0.14; // of the requests, with and without TROUBLE
    constexpr double repeatShare = 0.03; // of the answers of three of the five upstreams, in spells
    constexpr int clientCount = 60;
    Store& store = *new Store; // lives as long as the process, like its threads
    writeConfiguration(store, { { "r-order", "/order/", "unsafe", "ledger" } });
    static std::atomic<bool> trouble = false;
    for (int i = 1; i <= 5; ++i) {
        const bool repeats = i <= 3;
        new Upstream({ .id = "i-ledger-" + std::to_string(i), .service = "ledger", .zone = i % 2 == 0 ? "jyl-b" : "jyl-a", .work = [](const Message&) { return Ms(20); }, .refuses = [] { return draw(shedShare); }, .repeatsAnswer = [repeats] { return repeats && trouble && draw(repeatShare); } }, store, record);
    }
    Fleet fleet(store, 2, {}, record);
    if (!fleet.waitUntilReady())
        return couldNotRun;

    std::atomic<bool> stop = false;
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i] {
            Connection connection;
            while (!stop) {
                const std::string id = newRequestId();
                record.sent(id, "POST", "/order/" + std::to_string(i));
                record.answered(id, exchange(connection, fleet.vms[static_cast<std::size_t>(i) % fleet.vms.size()], requestText("POST", "/order/" + std::to_string(i), id, deadlineMs, "one bell"), deadlineMs));
                std::this_thread::sleep_for(Ms(120));
            }
        });
    }
    // Six spells of 5 s each.
    for (int spell = 0; spell < 6; ++spell) {
        std::this_thread::sleep_for(std::chrono::seconds(4));
        trouble = hasTrouble();
        record.line("the late copies begin");
        std::this_thread::sleep_for(std::chrono::seconds(5));
        trouble = false;
        record.line("the late copies end");
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    stop = true;
    for (std::thread& client : clients)
        client.join();
    std::this_thread::sleep_for(std::chrono::seconds(3));

    const std::scoped_lock lock(record.mutex);
    int twice = 0;
    int refusedAndRun = 0;
    int served = 0;
    for (const auto& [id, status] : record.answers) {
        const auto found = record.runs.find(id);
        const std::size_t runs = found == record.runs.end() ? 0 : found->second.size();
        twice += runs > 1 ? 1 : 0;
        refusedAndRun += runs > 0 && isPromise(status) ? 1 : 0;
        served += status == 200 ? 1 : 0;
    }
    std::printf("%zu orders, %d answered 200, %d ran more than once, %d answered with a promise and run\n", record.answers.size(), served, twice, refusedAndRun);
    if (served == 0)
        return couldNotRun;
    return twice + refusedAndRun > 0 ? ruleBroken : ruleHeld;
}

}
