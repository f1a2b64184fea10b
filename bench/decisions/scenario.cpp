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

    void drawJobs(const Scenario& scenario, Workload& workload, std::uint64_t seed)
    {
        const double slots = scenario.servers * slotsPerServer;
        for (std::uint32_t i = 0; i < scenario.classes.size(); ++i) {
            const WorkClass& workClass = scenario.classes[i];
            if (workClass.offeredLoad <= 0)
                continue;
            core::RandomEngine random(seed * 1000 + i);
            std::exponential_distribution<double> arrivalGap(workClass.offeredLoad * slots / workClass.meanServiceSeconds);
            std::lognormal_distribution<double> serviceTime(std::log(workClass.meanServiceSeconds) - workClass.logSigma * workClass.logSigma / 2, workClass.logSigma);
            std::vector<double> weights(scenario.entryVms, 1);
            weights[0] = scenario.firstVmFactor;
            std::discrete_distribution<std::uint32_t> entryVm(weights.begin(), weights.end());
            for (double time = arrivalGap(random); time < scenario.durationSeconds; time += arrivalGap(random))
                workload.jobs.push_back({ .arrival = core::TimePoint {} + fromSeconds(time), .entryVm = entryVm(random), .classIndex = i, .caller = static_cast<std::uint32_t>(random() % scenario.callerCount), .serviceSeconds = serviceTime(random) });
        }
        std::ranges::stable_sort(workload.jobs, {}, &Job::arrival);
    }

    // The number of slow servers is constant: when one becomes normal, another one becomes slow.
    void drawSpeedChanges(const Scenario& scenario, Workload& workload, std::uint64_t seed)
    {
        core::RandomEngine random(seed * 1000 + 999);
        std::exponential_distribution<double> slowDuration(1 / scenario.meanSlowSeconds);
        std::vector<std::uint32_t> order(scenario.servers);
        std::iota(order.begin(), order.end(), 0);
        std::ranges::shuffle(order, random);
        const auto count = static_cast<std::size_t>(std::lround(scenario.slowServerShare * scenario.servers));
        std::priority_queue<std::pair<double, std::size_t>, std::vector<std::pair<double, std::size_t>>, std::greater<>> ends;
        const auto change = [&](double time, std::size_t position, bool isSlow) { workload.speedChanges.push_back({ .server = order[position], .time = core::TimePoint {} + fromSeconds(time), .isSlow = isSlow }); };
        for (std::size_t i = 0; i < count; ++i) {
            change(0, i, true);
            ends.emplace(slowDuration(random), i);
        }
        while (!ends.empty()) {
            const auto [time, position] = ends.top();
            ends.pop();
            if (time >= scenario.durationSeconds)
                break;
            change(time, position, false);
            std::swap(order[position], order[count + random() % (order.size() - count)]);
            change(time, position, true);
            ends.emplace(time + slowDuration(random), position);
        }
    }

    // Takes the next job of the ideal policy: short jobs first, then long ones, each in order of arrival.
    std::optional<std::uint32_t> takeNextJob(std::deque<std::uint32_t>& shortJobs, std::deque<std::uint32_t>& longJobs)
    {
        std::deque<std::uint32_t>& queue = shortJobs.empty() ? longJobs : shortJobs;
        if (queue.empty())
            return std::nullopt;
        const std::uint32_t job = queue.front();
        queue.pop_front();
        return job;
    }

}

Workload drawWorkload(const Scenario& scenario, std::uint64_t seed)
{
    Workload workload;
    drawJobs(scenario, workload, seed);
    drawSpeedChanges(scenario, workload, seed);
    return workload;
}

double quantile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

SimulationResult runIdeal(const Scenario& scenario, const Workload& workload)
{
    EventQueue eventQueue;
    std::vector<SimulatedServer> servers(scenario.servers);
    for (std::size_t i = 0; i < workload.jobs.size(); ++i)
        eventQueue.add(workload.jobs[i].arrival + scenario.oneWayDelay, Event::Kind::Arrival, i);
    for (std::size_t i = 0; i < workload.speedChanges.size(); ++i)
        eventQueue.add(workload.speedChanges[i].time, Event::Kind::SpeedChanged, i);
    std::deque<std::uint32_t> shortJobs;
    std::deque<std::uint32_t> longJobs;
    SimulationResult result { .classes = std::vector<ClassResult>(scenario.classes.size()), .capacitySeconds = 0 };
    const core::TimePoint warmUpEnd = core::TimePoint {} + fromSeconds(scenario.durationSeconds * 0.1);
    const auto schedule = [&](std::uint32_t server, core::TimePoint now) {
        if (const auto next = servers[server].nextFinish(now))
            eventQueue.add(*next, Event::Kind::Finished, server, servers[server].version);
    };
    const auto dispatch = [&](core::TimePoint now) {
        for (std::uint32_t server = 0; server < servers.size(); ++server) {
            while (servers[server].hasFreeSlot() && !servers[server].isSlow()) {
                const std::optional<std::uint32_t> job = takeNextJob(shortJobs, longJobs);
                if (!job)
                    return;
                servers[server].add(*job, workload.jobs[*job].serviceSeconds, now);
                schedule(server, now);
            }
        }
    };
    while (!eventQueue.empty()) {
        const Event event = eventQueue.take();
        if (event.kind == Event::Kind::Arrival) {
            const Job& job = workload.jobs[event.subject];
            (scenario.classes[job.classIndex].length == core::WorkLength::Short ? shortJobs : longJobs).push_back(static_cast<std::uint32_t>(event.subject));
        } else if (event.kind == Event::Kind::SpeedChanged) {
            const SpeedChange& speedChange = workload.speedChanges[event.subject];
            servers[speedChange.server].setSpeed(speedChange.isSlow ? 1 / scenario.slowdownFactor : 1, event.time);
            schedule(speedChange.server, event.time);
        } else if (const auto finished = servers[event.subject].finish(event.version, event.time)) {
            const Job& job = workload.jobs[*finished];
            if (job.arrival >= warmUpEnd)
                result.classes[job.classIndex].latencySeconds.push_back(std::chrono::duration<double>(event.time + scenario.oneWayDelay - job.arrival).count());
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

void SimulatedServer::add(std::uint64_t attempt, double serviceSeconds, core::TimePoint now)
{
    this->advance(now);
    if (this->hasFreeSlot()) {
        this->running.push_back({ attempt, serviceSeconds });
        ++this->version;
    } else
        this->waiting.push_back({ attempt, serviceSeconds });
}

void SimulatedServer::setSpeed(double newSpeed, core::TimePoint now)
{
    this->advance(now);
    this->speed = newSpeed;
    ++this->version;
}

void SimulatedServer::cancel(std::uint64_t attempt, core::TimePoint now)
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

std::optional<std::uint64_t> SimulatedServer::finish(std::uint64_t expectedVersion, core::TimePoint now)
{
    if (expectedVersion != this->version)
        return std::nullopt;
    this->advance(now);
    const auto done = std::ranges::min_element(this->running, {}, &Task::remainingSeconds);
    const std::uint64_t attempt = done->attempt;
    this->running.erase(done);
    ++this->version;
    if (!this->waiting.empty()) {
        this->running.push_back(this->waiting.front());
        this->waiting.pop_front();
    }
    return attempt;
}

std::optional<core::TimePoint> SimulatedServer::nextFinish(core::TimePoint now) const
{
    if (this->running.empty())
        return std::nullopt;
    const Task& first = *std::ranges::min_element(this->running, {}, &Task::remainingSeconds);
    return now + core::Duration(static_cast<std::int64_t>(std::ceil(std::max(first.remainingSeconds, 0.0) / this->speed * 1e6)));
}

void SimulatedServer::advance(core::TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - this->advancedAt).count();
    for (Task& task : this->running)
        task.remainingSeconds -= elapsed * this->speed;
    this->advancedAt = now;
}

}
