// One upstream of seven fails a part of its requests with a 500 whose body is empty.

#include "cases.h"
#include "random.h"

namespace rig {

int emptyAnswer(Record& record)
{
    constexpr int deadlineMs = 2500; // also the route's timeout
    constexpr double failShare = 0.45; // of the requests of one upstream
    constexpr int clientCount = 50;
    constexpr int spellCount = 3;
    constexpr Ms spell(6500); // for which the upstream fails
    constexpr Ms pause(4000);
    constexpr int minUnanswered = 8; // of the rule
    Store& store = *new Store; // lives as long as the process, like its threads
    writeConfiguration(store, { { "r-order", "/order/", "unsafe", "ledger", "2500ms" } });
    static std::atomic<bool> trouble = false;
    for (int i = 1; i <= 7; ++i) {
        const bool isGrey = i == 1;
        new Upstream({ .id = "i-ledger-" + std::to_string(i), .service = "ledger", .zone = i % 2 == 0 ? "jyl-b" : "jyl-a", .fails = [isGrey] { return isGrey && trouble && draw(failShare); } }, store, record);
    }
    Fleet fleet(store, 2, {}, record);
    if (!fleet.waitUntilReady())
        return couldNotRun;

    std::atomic<int> answered = 0;
    std::atomic<int> unanswered = 0; // half a second after the route's timeout
    std::atomic<bool> stop = false;
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i] {
            Connection connection;
            while (!stop) {
                const std::string id = newRequestId();
                record.sent(id, "POST", "/order/" + std::to_string(i));
                const Message answer = exchange(connection, fleet.vms[static_cast<std::size_t>(i) % fleet.vms.size()], requestText("POST", "/order/" + std::to_string(i), id, deadlineMs, "one bell"), deadlineMs);
                record.answered(id, answer);
                ++(answer.complete ? answered : unanswered);
                std::this_thread::sleep_for(Ms(100));
            }
        });
    }
    for (int i = 0; i < spellCount; ++i) {
        trouble = hasTrouble();
        std::this_thread::sleep_for(spell);
        trouble = false;
        std::this_thread::sleep_for(pause);
    }
    stop = true;
    for (std::thread& client : clients)
        client.join();
    std::printf("%d orders with a complete answer, %d without one half a second after the route's timeout\n", answered.load(), unanswered.load());
    if (answered == 0)
        return couldNotRun;
    return unanswered >= minUnanswered ? ruleBroken : ruleHeld;
}

}
