#include "decisions/scenario.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cranberryshed::bench {

namespace {

    core::Duration fromSeconds(double seconds)
    {
        return core::Duration(std::llround(seconds * 1e6));
    }

    void drawJobs(const Scenario& scenario, Events& events, std::uint64_t seed)
    {
        const double slots = scenario.servers * slotsPerServer;
        for (std::uint32_t i = 0; i < scenario.classes.size(); ++i) {
            const WorkClass& workClass = scenario.classes[i];
            if (workClass.load <= 0)
                continue;
            core::RandomEngine random(seed * 1000 + i);
            std::exponential_distribution<double> gap(workClass.load * slots / workClass.meanSeconds);
            std::lognormal_distribution<double> work(std::log(workClass.meanSeconds) - workClass.sigma * workClass.sigma / 2, workClass.sigma);
            std::vector<double> weights(scenario.entryVms, 1);
            weights[0] = scenario.hotFactor;
            std::discrete_distribution<std::uint32_t> entryVm(weights.begin(), weights.end());
            for (double time = gap(random); time < scenario.seconds; time += gap(random))
                events.jobs.push_back({ .arrival = core::TimePoint {} + fromSeconds(time), .entryVm = entryVm(random), .classIndex = i, .caller = static_cast<std::uint32_t>(random() % scenario.callers), .work = work(random) });
        }
        std::ranges::stable_sort(events.jobs, {}, &Job::arrival);
    }

    // The same number of servers is slow at any time. When a moment ends, the next one starts at another server.
    void drawMoments(const Scenario& scenario, Events& events, std::uint64_t seed)
    {
        core::RandomEngine random(seed * 1000 + 999);
        std::exponential_distribution<double> length(1 / scenario.slowSeconds);
        std::vector<std::uint32_t> order(scenario.servers);
        std::iota(order.begin(), order.end(), 0);
        std::ranges::shuffle(order, random);
        const auto count = static_cast<std::size_t>(std::lround(scenario.slowShare * scenario.servers));
        std::priority_queue<std::pair<double, std::size_t>, std::vector<std::pair<double, std::size_t>>, std::greater<>> ends;
        const auto change = [&](double time, std::size_t place, bool slow) { events.moments.push_back({ .server = order[place], .time = core::TimePoint {} + fromSeconds(time), .slow = slow }); };
        for (std::size_t i = 0; i < count; ++i) {
            change(0, i, true);
            ends.emplace(length(random), i);
        }
        while (!ends.empty()) {
            const auto [time, place] = ends.top();
            ends.pop();
            if (time >= scenario.seconds)
                break;
            change(time, place, false);
            std::swap(order[place], order[count + random() % (order.size() - count)]);
            change(time, place, true);
            ends.emplace(time + length(random), place);
        }
    }

    // Takes the attempt that is served next from the ideal's one queue.
    std::optional<std::uint32_t> takeIdeal(std::deque<std::uint32_t>& shortJobs, std::deque<std::uint32_t>& longJobs)
    {
        std::deque<std::uint32_t>& from = shortJobs.empty() ? longJobs : shortJobs;
        if (from.empty())
            return std::nullopt;
        const std::uint32_t job = from.front();
        from.pop_front();
        return job;
    }

}

Events drawEvents(const Scenario& scenario, std::uint64_t seed)
{
    Events events;
    drawJobs(scenario, events, seed);
    drawMoments(scenario, events, seed);
    return events;
}

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

Result runIdeal(const Scenario& scenario, const Events& events)
{
    Agenda agenda;
    std::vector<FakeServer> servers(scenario.servers);
    for (std::size_t i = 0; i < events.jobs.size(); ++i)
        agenda.add(events.jobs[i].arrival + scenario.oneWay, Happening::Kind::Arrival, i);
    for (std::size_t i = 0; i < events.moments.size(); ++i)
        agenda.add(events.moments[i].time, Happening::Kind::Moment, i);
    std::deque<std::uint32_t> shortJobs;
    std::deque<std::uint32_t> longJobs;
    Result result { .classes = std::vector<ClassResult>(scenario.classes.size()), .capacity = 0 };
    const core::TimePoint warm = core::TimePoint {} + fromSeconds(scenario.seconds * 0.1);
    const auto schedule = [&](std::uint32_t server, core::TimePoint now) {
        if (const auto next = servers[server].nextFinish(now))
            agenda.add(*next, Happening::Kind::Finished, server, servers[server].version);
    };
    const auto dispatch = [&](core::TimePoint now) {
        for (std::uint32_t server = 0; server < servers.size(); ++server) {
            while (servers[server].hasFreeSlot() && !servers[server].isSlow()) {
                const std::optional<std::uint32_t> job = takeIdeal(shortJobs, longJobs);
                if (!job)
                    return;
                servers[server].add(*job, events.jobs[*job].work, now);
                schedule(server, now);
            }
        }
    };
    while (!agenda.empty()) {
        const Happening event = agenda.take();
        if (event.kind == Happening::Kind::Arrival) {
            const Job& job = events.jobs[event.subject];
            (scenario.classes[job.classIndex].length == core::WorkLength::Short ? shortJobs : longJobs).push_back(static_cast<std::uint32_t>(event.subject));
        } else if (event.kind == Happening::Kind::Moment) {
            const SlowMoment& moment = events.moments[event.subject];
            servers[moment.server].setSpeed(moment.slow ? 1 / scenario.slowFactor : 1, event.time);
            schedule(moment.server, event.time);
        } else if (const auto finished = servers[event.subject].finish(event.version, event.time)) {
            const Job& job = events.jobs[*finished];
            if (job.arrival >= warm)
                result.classes[job.classIndex].latencies.push_back(std::chrono::duration<double>(event.time + scenario.oneWay - job.arrival).count());
            schedule(static_cast<std::uint32_t>(event.subject), event.time);
        }
        dispatch(event.time);
    }
    return result;
}

std::shared_ptr<core::SteeringTable> makeTable(const Scenario& scenario, std::uint32_t self)
{
    auto table = std::make_shared<core::SteeringTable>();
    table->generation = 1;
    table->members.resize(scenario.entryVms);
    for (const WorkClass& workClass : scenario.classes) {
        core::ClassEntry entry;
        entry.name = workClass.name;
        entry.service = "service";
        entry.length = workClass.length;
        entry.deadline = workClass.deadline;
        table->classes.push_back(entry);
    }
    for (std::uint32_t i = 0; i < scenario.servers; ++i) {
        core::ServerEntry server;
        server.name = "server-" + std::to_string(i);
        server.service = "service";
        server.slots = slotsPerServer;
        server.isHome = i % scenario.entryVms == self;
        server.key = core::hashBytes(server.name);
        server.slotCounter = std::make_shared<core::SlotCounter>();
        table->servers.push_back(server);
        for (core::ClassEntry& entry : table->classes)
            entry.servers.push_back({ i });
    }
    return table;
}

void FakeServer::add(std::uint64_t attempt, double work, core::TimePoint now)
{
    this->advance(now);
    if (this->hasFreeSlot()) {
        this->running.push_back({ attempt, work });
        ++this->version;
    } else
        this->waiting.push_back({ attempt, work });
}

void FakeServer::setSpeed(double newSpeed, core::TimePoint now)
{
    this->advance(now);
    this->speed = newSpeed;
    ++this->version;
}

void FakeServer::cancel(std::uint64_t attempt, core::TimePoint now)
{
    this->advance(now);
    std::erase_if(this->waiting, [&](const Task& task) { return task.attempt == attempt; });
    if (std::erase_if(this->running, [&](const Task& task) { return task.attempt == attempt; }) == 0)
        return;
    ++this->version;
    if (!this->waiting.empty()) {
        this->running.push_back(this->waiting.front());
        this->waiting.pop_front();
    }
}

std::optional<std::uint64_t> FakeServer::finish(std::uint64_t expectedVersion, core::TimePoint now)
{
    if (expectedVersion != this->version)
        return std::nullopt;
    this->advance(now);
    const auto done = std::ranges::min_element(this->running, {}, &Task::remaining);
    const std::uint64_t attempt = done->attempt;
    this->running.erase(done);
    ++this->version;
    if (!this->waiting.empty()) {
        this->running.push_back(this->waiting.front());
        this->waiting.pop_front();
    }
    return attempt;
}

std::optional<core::TimePoint> FakeServer::nextFinish(core::TimePoint now) const
{
    if (this->running.empty())
        return std::nullopt;
    const Task& first = *std::ranges::min_element(this->running, {}, &Task::remaining);
    return now + core::Duration(static_cast<std::int64_t>(std::ceil(std::max(first.remaining, 0.0) / this->speed * 1e6)));
}

void FakeServer::advance(core::TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - this->advancedAt).count();
    for (Task& task : this->running)
        task.remaining -= elapsed * this->speed;
    this->advancedAt = now;
}

}
