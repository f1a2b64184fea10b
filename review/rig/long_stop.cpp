// Entry VMs are stopped in turn. Callers that still hold an old directory answer send them orders for 5 s more. Three
// orders in a hundred take four times as long as the others.

#include "cases.h"

namespace rig {

namespace {

    constexpr int deadlineMs = 8000;
    constexpr Ms usualWork(1560);
    constexpr int longOrderEvery = 33;
    constexpr int longOrderFactor = 4;
    constexpr double excusedSeconds = 3; // after SIGTERM
    constexpr double sendingSeconds = 4.9; // after SIGTERM

    struct Order {
        std::string id;
        double sentAfterSignal = 0; // s
        double tookSeconds = 0;
        int status = 0; // 0: the connection ended without a complete answer
    };

    class Orders {
    public:
        Orders(Record& journal, std::vector<std::thread>& clientThreads)
            : record(journal)
            , threads(clientThreads)
        {
        }

        // Sends one order to the VM on a thread of its own.
        void send(const EntryVm& vm, Clock::time_point signalAt)
        {
            this->threads.emplace_back([this, &vm, signalAt] {
                Order order { .id = newRequestId() };
                Connection connection;
                const Clock::time_point sentAt = Clock::now();
                order.sentAfterSignal = std::chrono::duration<double>(sentAt - signalAt).count();
                this->record.sent(order.id, "POST", "/order/7");
                const Message answer = exchange(connection, vm, requestText("POST", "/order/7", order.id, deadlineMs, "one bell"), deadlineMs);
                order.tookSeconds = std::chrono::duration<double>(Clock::now() - sentAt).count();
                this->record.answered(order.id, answer);
                order.status = answer.complete ? answer.status() : 0;
                const std::scoped_lock lock(this->mutex);
                this->all.push_back(order);
            });
        }

        std::mutex mutex;
        std::vector<Order> all;

    private:
        Record& record;
        std::vector<std::thread>& threads;
    };

    // Sends about 33 orders a second to the VM for sendingSeconds after the signal.
    void sendWhileStopping(Orders& orders, const EntryVm& vm, Clock::time_point signalAt)
    {
        while (std::chrono::duration<double>(Clock::now() - signalAt).count() < sendingSeconds) {
            orders.send(vm, signalAt);
            std::this_thread::sleep_for(Ms(30));
        }
    }

}

int longStop(Record& record)
{
    Store& store = *new Store; // lives as long as the process, like its threads
    writeConfiguration(store, { { "r-order", "/order/", "unsafe", "ledger", "8000ms" } });
    static std::atomic<int> ordersRun = 0;
    const auto work = [](const Message&) { return ++ordersRun % longOrderEvery == 0 ? usualWork * longOrderFactor : usualWork; };
    for (int i = 1; i <= 30; ++i)
        new Upstream({ .id = "i-ledger-" + std::to_string(i), .service = "ledger", .zone = i % 2 == 0 ? "jyl-b" : "jyl-a", .work = work }, store, record);
    Fleet fleet(store, 4, { .drain = "4000ms", .configApply = "4000ms", .grace = "10s" }, record);
    if (!fleet.waitUntilReady())
        return couldNotRun;

    std::vector<std::thread> clients;
    Orders orders(record, clients);
    for (std::size_t i = 0; i < 3; ++i) {
        EntryVm& vm = fleet.vms[i];
        const Clock::time_point signalAt = Clock::now();
        if (hasTrouble())
            fleet.signal(vm, SIGTERM, "SIGTERM");
        sendWhileStopping(orders, vm, signalAt);
        while (Clock::now() < signalAt + std::chrono::seconds(11))
            std::this_thread::sleep_for(Ms(50));
        fleet.hasEnded(vm);
    }
    for (std::thread& client : clients)
        client.join();

    const std::scoped_lock lock(record.mutex, orders.mutex);
    int served = 0;
    int lost = 0;
    for (const Order& order : orders.all) {
        served += order.status == 200 ? 1 : 0;
        const bool wasRun = record.runs.contains(order.id);
        const bool isExcused = order.sentAfterSignal <= excusedSeconds || order.tookSeconds >= deadlineMs / 1000.0 - 0.1;
        if (order.status == 200 || !wasRun || isExcused || isPromise(order.status))
            continue;
        ++lost;
        std::printf("order %s, sent %.1f s after the signal, ran and ended after %.1f s with %d\n", order.id.c_str(), order.sentAfterSignal, order.tookSeconds, order.status);
    }
    std::printf("%zu orders, %d answered 200, %d passed on and broken off without an excuse\n", orders.all.size(), served, lost);
    if (served == 0)
        return couldNotRun;
    return lost > 0 ? ruleBroken : ruleHeld;
}

}
