// Some clients leave before their deadline, and their connections end with a reset. The rule: no more than a few requests
// reach an upstream over half a second after their client has left, and upstreams are still at work half a second later
// on at most a quarter of the requests that would have lasted so long.

#include "cases.h"
#include "deployment.h"

namespace review {

bool resetByClient(Record& record, bool hasTrouble)
{
    constexpr auto settleTime = 5s;
    constexpr auto trafficTime = 16s;
    constexpr auto troubleFrom = 4s; // from the start of the traffic
    constexpr auto troubleTime = 5500ms;
    constexpr auto requestInterval = 40ms;
    constexpr unsigned leavingPercent = 20;
    constexpr std::chrono::milliseconds leaveAfter { 100 };
    constexpr auto grace = 500ms;
    constexpr unsigned fewArrivals = 3;
    // With LEAVE=close, the clients that leave close their connections in an orderly way, for comparison.
    const char* leave = std::getenv("LEAVE");
    const bool leavesByReset = !leave || std::string(leave) != "close";
    const std::vector<std::pair<std::string, std::string>> zones { { "attiki-a", "attiki" }, { "attiki-b", "attiki" } };

    // The work of a request, from its path: 450 to 750 ms, and 3 of 100 take seven times as long.
    const auto workOf = [](unsigned number) { return std::chrono::milliseconds(450 + number * 37 % 300) * (number % 100 < 3 ? 7 : 1); };
    Store store;
    const auto workOfPath = [workOf](const std::string& path) { return workOf(static_cast<unsigned>(std::stoul(path.substr(std::string("/read/").size())))); };
    const auto plan = [workOfPath](const Head& head) { return Upstream::Work { .time = workOfPath(head.word(1)), .answerBytes = 5000 }; };
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (unsigned i = 0; i < 8; ++i) {
        upstreams.push_back(std::make_unique<Upstream>(Upstream::Options { .id = "i-" + std::to_string(i + 1), .service = "repo-core", .zone = zones[i % 2].first, .record = &record, .plan = plan }));
        store.put("servers", upstreams.back()->id(), upstreams.back()->entry("ready"));
    }
    store.put("config", "main", configurationText(1, { { .name = "read", .prefix = "/read/", .type = "safe", .service = "repo-core", .timeout = "3000ms" } }, { "repo-core" }));
    Fleet fleet(3, store.address(), zones, {});
    fleet.waitUntilReady();
    std::this_thread::sleep_for(settleTime);

    std::vector<Attempt> attempts;
    {
        Clients clients(fleet, record);
        std::mt19937 random(std::random_device {}());
        const Time begin = Clock::now();
        unsigned number = 0;
        for (Time next = begin; next < begin + trafficTime; next += requestInterval) {
            std::this_thread::sleep_until(next);
            Message message { .path = "/read/" + std::to_string(number), .key = std::to_string(number * 7 % 38) };
            const bool isTrouble = next >= begin + troubleFrom && next < begin + troubleFrom + troubleTime;
            if (hasTrouble && isTrouble && random() % 100 < leavingPercent) {
                message.leaveAfter = leaveAfter;
                message.leavesByReset = leavesByReset;
            }
            clients.send(number % fleet.size(), message);
            ++number;
        }
        attempts = clients.wait();
    }
    fleet.requireRunning();

    std::map<std::string, const Attempt*> left;
    std::map<int, unsigned> statuses;
    for (const Attempt& attempt : attempts) {
        if (attempt.status == 0 && attempt.closedAt < attempt.sentAt + 1s)
            left[attempt.request] = &attempt;
        else
            ++statuses[attempt.status];
    }
    for (const auto& [status, count] : statuses)
        record.say("answers with status", status, ":", count);
    unsigned lateArrivals = 0;
    unsigned wouldHaveLasted = 0;
    unsigned stillAtWork = 0;
    for (const auto& upstream : upstreams) {
        for (const Upstream::Arrival& arrival : upstream->arrivals()) {
            const auto found = left.find(arrival.request);
            lateArrivals += found != left.end() && arrival.at > found->second->closedAt + grace ? 1 : 0;
        }
        for (const Upstream::Run& run : upstream->runs()) {
            const auto found = left.find(run.request);
            if (found == left.end() || run.begin > found->second->closedAt)
                continue;
            const Time limit = found->second->closedAt + grace;
            if (run.begin + workOfPath(found->second->path) <= limit)
                continue;
            ++wouldHaveLasted;
            stillAtWork += run.end > limit ? 1 : 0;
        }
    }
    record.say("clients that left:", left.size(), "; requests that reached an upstream over 0.5 s later:", lateArrivals, "; allowed:", fewArrivals);
    record.say("runs that would have lasted over 0.5 s after the client had left:", wouldHaveLasted, "; still at work then:", stillAtWork, "; allowed: a quarter");
    return lateArrivals <= fewArrivals && 4 * stillAtWork <= wouldHaveLasted;
}

}
