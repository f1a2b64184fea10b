// An entry VM is stopped by SIGTERM and gets the signal once more while it finishes its requests. The rule: no request
// that it has read and passed on to an upstream ends without a complete answer.

#include "cases.h"
#include "deployment.h"

#include <set>

namespace review {

bool repeatedStop(Record& record, bool hasTrouble)
{
    constexpr auto settleTime = 5s;
    constexpr auto trafficTime = 14s;
    constexpr auto stopAt = 4s; // from the start of the traffic
    constexpr auto repeatAt = 5s;
    constexpr auto requestInterval = 60ms;
    constexpr auto grace = 6s; // as the settings state it
    constexpr auto allowance = 1s; // after it
    constexpr std::chrono::milliseconds deadline { 4000 };
    const std::vector<std::pair<std::string, std::string>> zones { { "attiki-a", "attiki" }, { "attiki-b", "attiki" } };

    Store store;
    const auto plan = [](const Head&) { return Upstream::Work { .time = 700ms, .answerBytes = 5000 }; };
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (unsigned i = 0; i < 8; ++i) {
        upstreams.push_back(std::make_unique<Upstream>(Upstream::Options { .id = "i-" + std::to_string(i + 1), .service = "repo-core", .zone = zones[i % 2].first, .record = &record, .plan = plan }));
        store.put("servers", upstreams.back()->id(), upstreams.back()->entry("ready"));
    }
    store.put("config", "main", configurationText(1, { { .name = "write", .prefix = "/write/", .type = "unsafe", .service = "repo-core", .timeout = "4000ms" } }, { "repo-core" }));
    Fleet fleet(3, store.address(), zones, {});
    fleet.waitUntilReady();
    std::this_thread::sleep_for(settleTime);

    std::vector<Attempt> attempts;
    Time stoppedAt {};
    {
        Clients clients(fleet, record);
        const Time begin = Clock::now();
        bool isStopping = false;
        bool isRepeated = false;
        unsigned number = 0;
        for (Time next = begin; next < begin + trafficTime; next += requestInterval) {
            std::this_thread::sleep_until(next);
            if (!isStopping && next >= begin + stopAt) {
                isStopping = true;
                stoppedAt = Clock::now();
                record.say("SIGTERM to", fleet.at(0).name);
                fleet.at(0).signal(SIGTERM);
            }
            if (hasTrouble && !isRepeated && next >= begin + repeatAt) {
                isRepeated = true;
                record.say("SIGTERM to", fleet.at(0).name, "once more");
                fleet.at(0).signal(SIGTERM);
            }
            clients.send(number % fleet.size(), { .method = "POST", .path = "/write/" + std::to_string(number), .key = std::to_string(number * 7 % 38), .deadline = deadline });
            ++number;
        }
        attempts = clients.wait();
    }

    std::set<std::string> passedOn;
    for (const auto& upstream : upstreams) {
        for (const Upstream::Arrival& arrival : upstream->arrivals())
            passedOn.insert(arrival.request);
    }
    unsigned answered = 0;
    unsigned refused = 0;
    unsigned lost = 0;
    unsigned notTaken = 0;
    for (const Attempt& attempt : attempts) {
        const bool isOfStop = attempt.vm == 0 && attempt.closedAt > stoppedAt && attempt.sentAt < stoppedAt + grace + allowance;
        if (!isOfStop)
            continue;
        const bool isInTime = attempt.closedAt < attempt.sentAt + deadline - 100ms;
        if (attempt.isComplete)
            ++(attempt.status == 200 ? answered : refused);
        else if (passedOn.contains(attempt.request) && isInTime) {
            ++lost;
            record.say("lost:", attempt.request, "was passed on, and its connection ended without an answer after", seconds(attempt.closedAt - attempt.sentAt), "s");
        } else
            ++notTaken;
    }
    record.say("orders at the stopping entry VM: answered", answered, "; refused or failed with an answer", refused, "; not taken", notTaken, "; lost", lost);
    return lost == 0;
}

}
