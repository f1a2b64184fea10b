// A request crashes each upstream that begins to run it, and comes again. The rule: later than `stable_window` after it
// has crashed the third upstream, no more than three retries of it reach upstreams.

#include "cases.h"
#include "deployment.h"

namespace review {

bool crashingRequest(Record& record, bool hasTrouble)
{
    constexpr auto settleTime = 5s;
    constexpr auto trafficTime = 60s;
    constexpr auto requestInterval = 50ms; // of the other callers
    constexpr auto crashingInterval = 5s; // between two tries of the client whose request crashes upstreams
    constexpr auto downTime = 2s; // of a crashed upstream
    constexpr auto entryLifetime = 4500ms; // three heartbeats of 1.5 s
    constexpr std::chrono::milliseconds coldTime { 3000 };
    constexpr auto stableWindow = 3s;
    constexpr unsigned allowedRetries = 3;
    const std::vector<std::pair<std::string, std::string>> zones { { "attiki-a", "attiki" }, { "attiki-b", "attiki" } };

    Store store;
    const auto plan = [hasTrouble](const Head& head) { return Upstream::Work { .time = 200ms, .crashes = hasTrouble && head.word(1) == "/read/special" }; };
    std::list<std::unique_ptr<Upstream>> all; // also those that have ended
    unsigned started = 0;
    const auto start = [&](const std::string& zone) -> Upstream& {
        all.push_back(std::make_unique<Upstream>(Upstream::Options { .id = "i-" + std::to_string(++started), .service = "repo-core", .zone = zone, .record = &record, .plan = plan }));
        return *all.back();
    };
    struct Place { // of one upstream, which starts again after a crash
        std::string zone;
        Upstream* upstream = nullptr;
        std::string expiring {}; // name of the entry of the crashed one
        Time crashedAt {};
        bool isDown = false;
    };
    std::vector<Place> places;
    for (unsigned i = 0; i < 24; ++i) {
        places.push_back({ .zone = zones[i % 2].first });
        places.back().upstream = &start(places.back().zone);
        store.put("servers", places.back().upstream->id(), places.back().upstream->entry("ready"));
    }
    store.put("config", "main", configurationText(1, { { .name = "read", .prefix = "/read/", .type = "safe", .service = "repo-core", .timeout = "3000ms" }, { .name = "write", .prefix = "/write/", .type = "unsafe", .service = "repo-core", .timeout = "4000ms" } }, { "repo-core" }));
    Fleet fleet(3, store.address(), zones, {});
    fleet.waitUntilReady();
    std::this_thread::sleep_for(settleTime);

    std::vector<Time> crashes;
    std::vector<Attempt> ordinary;
    std::vector<Attempt> special;
    {
        Clients clients(fleet, record);
        Clients crashing(fleet, record);
        const Time begin = Clock::now();
        Time nextCrashing = begin + 1s;
        unsigned number = 0;
        unsigned tries = 0;
        for (Time next = begin; next < begin + trafficTime; next += requestInterval) {
            std::this_thread::sleep_until(next);
            const bool isOrder = ++number % 4 == 0;
            clients.send(number % fleet.size(), { .method = isOrder ? "POST" : "GET", .path = (isOrder ? "/write/" : "/read/") + std::to_string(number), .key = std::to_string(number * 7 % 38), .deadline = std::chrono::milliseconds(isOrder ? 4000 : 3000) });
            if (next >= nextCrashing) {
                nextCrashing += crashingInterval;
                crashing.send(tries++ % fleet.size(), { .path = "/read/special", .key = "5" });
            }
            for (Place& place : places) {
                if (place.upstream->hasEnded() && !place.isDown) {
                    place.isDown = true;
                    place.crashedAt = Clock::now();
                    place.expiring = place.upstream->id();
                    crashes.push_back(place.crashedAt);
                }
                if (place.isDown && Clock::now() >= place.crashedAt + downTime) {
                    place.isDown = false;
                    place.upstream = &start(place.zone);
                    store.put("servers", place.upstream->id(), place.upstream->entry("ready", coldTime));
                    record.add(place.upstream->id(), "has started in the place of", place.expiring);
                }
                if (!place.expiring.empty() && Clock::now() >= place.crashedAt + entryLifetime) {
                    store.remove("servers", place.expiring);
                    place.expiring.clear();
                }
            }
        }
        ordinary = clients.wait();
        special = crashing.wait();
    }
    fleet.requireRunning();

    std::map<std::string, std::vector<Time>> arrivals; // of the special request, by Request-Id
    for (const auto& upstream : all) {
        for (const Upstream::Arrival& arrival : upstream->arrivals()) {
            if (!arrival.isOtherInstance)
                arrivals[arrival.request].push_back(arrival.at);
        }
    }
    unsigned retries = 0;
    for (const Attempt& attempt : special) {
        std::vector<Time>& times = arrivals[attempt.request];
        std::ranges::sort(times);
        record.say("the special request", attempt.request, "reached", times.size(), "upstreams, status", attempt.status);
        for (std::size_t i = 1; i < times.size(); ++i)
            retries += crashes.size() >= 3 && times[i] > crashes[2] + stableWindow ? 1 : 0;
    }
    std::map<int, unsigned> statuses;
    for (const Attempt& attempt : ordinary)
        ++statuses[attempt.status];
    for (const auto& [status, count] : statuses)
        record.say("answers to other callers with status", status, ":", count);
    record.say("crashes:", crashes.size(), "; retries later than 3 s after the third:", retries, "; allowed:", allowedRetries);
    if (hasTrouble && crashes.size() < 3)
        throw CannotRun("the request has not crashed three upstreams");
    return retries <= allowedRetries;
}

}
