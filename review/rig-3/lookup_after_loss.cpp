// Look-ups after the loss of all entry VMs but one.

#include "cases.h"
#include "client.h"
#include "deployment.h"
#include "upstream.h"

namespace rig {

namespace {

    // The answer to one look-up; nothing if there was none with status 200.
    std::optional<std::string> resolve(const Vm& vm, const std::string& region, const std::string& zone)
    {
        const Socket socket = connectTo(vm.addresses.lookups);
        std::string buffer;
        Message answer;
        const bool isAnswered = socket.isOpen() && socket.write(std::string("GET /api/resolve?name=") + hostName + "&region=" + region + "&zone=" + zone + " HTTP/1.1\r\nHost: directory\r\n\r\n")
            && readMessage(socket, buffer, answer, Clock::now() + std::chrono::seconds(1)) == ReadResult::Complete && answer.secondWord() == "200";
        return isAnswered ? std::optional(answer.body) : std::nullopt;
    }

    // The names of the VMs whose addresses an answer contains.
    std::vector<std::string> named(const Deployment& deployment, const std::string& answer)
    {
        std::vector<std::string> names;
        for (const auto& vm : deployment.vms) {
            if (answer.find("\"" + addressText(vm->addresses.callers) + "\"") != std::string::npos)
                names.push_back(vm->name);
        }
        return names;
    }

}

int lookupAfterLoss(bool hasTrouble, Record& record)
{
    constexpr std::chrono::seconds stableWindow { 3 };
    constexpr std::chrono::seconds bound = stableWindow + std::chrono::seconds(3);
    constexpr int allowedAnswers = 3;
    Store& store = *new Store; // never freed: its threads run until the end of the process
    store.put("config", "main", configurationText("r1", "huvo11a"));
    Upstream& upstream = *new Upstream(store, UpstreamOptions { .id = "i-1", .service = "huvo11a", .zone = "attiki-a" });
    upstream.registerAs("ready");
    const std::vector<Zone> zones { { "attiki-a", "attiki" }, { "attiki-b", "attiki" }, { "makedonia-a", "kentriki-makedonia" }, { "makedonia-b", "kentriki-makedonia" }, { "kriti-a", "kriti" }, { "kriti-b", "kriti" } };
    Deployment deployment(store, zones, {});
    for (const Zone& zone : zones) {
        const bool isFirstZone = zone.name.ends_with("-a");
        for (int number = 1; number <= (isFirstZone ? 3 : 2); ++number)
            deployment.add("front-" + zone.name + "-" + std::to_string(number), zone.name);
    }
    if (!deployment.startAll()) {
        record.add("the entry VMs did not become ready");
        return notRun;
    }
    Vm& remaining = *deployment.vms.front();
    std::this_thread::sleep_for(std::chrono::seconds(10));
    const std::optional<std::string> before = resolve(remaining, "attiki", "attiki-a");
    if (!before || named(deployment, *before).size() != 5) {
        record.add("the directory does not name the five VMs of the region: " + before.value_or("no answer"));
        return notRun;
    }
    record.add("15 entry VMs are ready; the directory of " + remaining.name + " names " + *before);
    for (std::size_t i = 1; hasTrouble && i < deployment.vms.size(); ++i)
        deployment.vms[i]->signal(SIGKILL);
    const Time killedAt = Clock::now();
    record.addAt(killedAt, hasTrouble ? "all other entry VMs are killed" : "no entry VM is killed");
    int late = 0;
    std::string last;
    while (Clock::now() < killedAt + std::chrono::seconds(20)) {
        const Time askedAt = Clock::now();
        const std::string answer = resolve(remaining, "attiki", "attiki-a").value_or("no answer");
        const std::vector<std::string> names = named(deployment, answer);
        const bool namesRemaining = std::ranges::find(names, remaining.name) != names.end();
        if (hasTrouble && namesRemaining && names.size() > 1 && askedAt > killedAt + bound)
            ++late;
        if (std::exchange(last, answer) != answer)
            record.addAt(askedAt, std::to_string(secondsBetween(killedAt, askedAt)) + " s after the kill: " + answer);
        std::this_thread::sleep_for(milliseconds(100));
    }
    record.add(std::to_string(late) + " answers named a killed VM beside the running one more than 6 s after the kill; " + std::to_string(allowedAnswers) + " are allowed");
    return late > allowedAnswers ? broken : held;
}

}
