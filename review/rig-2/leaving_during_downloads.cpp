// Three of twelve upstreams leave while the store is down, and say so in their answers. Their answers are downloads that take some
// seconds. The rule: later than `drain` after an entry VM has passed on such an answer, no request reaches the upstream
// from that VM.

#include "cases.h"
#include "deployment.h"

namespace review {

bool leavingDuringDownloads(Record& record, bool hasTrouble)
{
    constexpr auto settleTime = 5s;
    constexpr auto trafficTime = 20s;
    constexpr auto leaveAt = 4s; // from the start of the traffic
    constexpr auto outage = 8s; // of the store
    constexpr auto requestInterval = 180ms;
    constexpr std::chrono::milliseconds deadline { 6000 };
    constexpr std::size_t leavingCount = 3; // of 12
    const Bounds bounds;
    const std::vector<std::pair<std::string, std::string>> zones { { "attiki-a", "attiki" }, { "attiki-b", "attiki" } };

    Store store;
    const auto plan = [](const Head&) { return Upstream::Work { .time = 50ms, .answerBytes = 3'000'000, .sendTime = 4500ms }; };
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (unsigned i = 0; i < 12; ++i) {
        upstreams.push_back(std::make_unique<Upstream>(Upstream::Options { .id = "i-" + std::to_string(i + 1), .service = "archive-dl", .zone = zones[i % 2].first, .record = &record, .plan = plan }));
        store.put("servers", upstreams.back()->id(), upstreams.back()->entry("ready"));
    }
    store.put("config", "main", configurationText(1, { { .name = "archive", .prefix = "/archive/", .type = "download", .service = "archive-dl", .timeout = "6000ms" } }, { "archive-dl" }));
    Fleet fleet(3, store.address(), zones, bounds);
    fleet.waitUntilReady();
    std::this_thread::sleep_for(settleTime);

    std::vector<Attempt> attempts;
    {
        Clients clients(fleet, record);
        const Time begin = Clock::now();
        const Time leave = begin + leaveAt;
        const Time end = leave + outage;
        bool hasLeft = false;
        bool isBack = false;
        unsigned number = 0;
        for (Time next = begin; next < begin + trafficTime; next += requestInterval) {
            std::this_thread::sleep_until(next);
            if (!hasLeft && next >= leave) {
                hasLeft = true;
                record.say("i-1 to i-3 leave");
                store.setDown(hasTrouble);
                for (std::size_t i = 0; i < leavingCount; ++i) {
                    upstreams[i]->setLeaving();
                    if (!hasTrouble)
                        store.put("servers", upstreams[i]->id(), upstreams[i]->entry("draining"));
                }
            }
            if (hasTrouble && !isBack && next >= end) {
                isBack = true;
                record.say("the store is back");
                store.setDown(false);
                for (std::size_t i = 0; i < leavingCount; ++i)
                    store.put("servers", upstreams[i]->id(), upstreams[i]->entry("draining"));
            }
            clients.send(number % fleet.size(), { .path = "/archive/" + std::to_string(number), .key = std::to_string(number * 7 % 24), .deadline = deadline });
            ++number;
        }
        attempts = clients.wait();
    }
    fleet.requireRunning();

    // When each VM first passed on an answer with Server-Leaving, by upstream and VM.
    std::map<std::pair<std::string, std::size_t>, Time> passedOn;
    std::map<std::string, const Attempt*> byRequest;
    std::map<int, unsigned> statuses;
    for (const Attempt& attempt : attempts) {
        byRequest[attempt.request] = &attempt;
        ++statuses[attempt.status];
        if (!attempt.statesLeaving)
            continue;
        const auto [first, added] = passedOn.try_emplace({ attempt.server, attempt.vm }, *attempt.headAt);
        first->second = std::min(first->second, *attempt.headAt);
    }
    for (const auto& [status, count] : statuses)
        record.say("answers with status", status, ":", count);
    unsigned late = 0;
    for (std::size_t i = 0; i < leavingCount; ++i) {
        for (const Upstream::Arrival& arrival : upstreams[i]->arrivals()) {
            const Attempt* attempt = byRequest[arrival.request];
            if (!attempt || arrival.isOtherInstance)
                continue;
            const auto first = passedOn.find({ upstreams[i]->id(), attempt->vm });
            if (first == passedOn.end() || attempt->sentAt <= first->second + bounds.drain)
                continue;
            ++late;
            record.say("late:", arrival.request, "reached", upstreams[i]->id(), "from", fleet.at(attempt->vm).name, "and was sent", seconds(attempt->sentAt - first->second), "s after that VM had passed on an answer with Server-Leaving");
        }
    }
    record.say("VMs that passed on Server-Leaving:", passedOn.size(), "; late requests:", late);
    if (hasTrouble && passedOn.empty())
        throw CannotRun("no answer with Server-Leaving was passed on");
    return late == 0;
}

}
