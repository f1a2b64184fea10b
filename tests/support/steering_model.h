#pragma once

#include "control/pipeline.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <numeric>

// A model of a fleet's control plane for tests and benchmarks. Each entry VM runs its own control pipeline on its own
// view of the fleet. The actual load of each region results from the shares that all entry VMs publish.
namespace cranberryshed::testing {

// A traffic class of the model.
struct ModelClass {
    std::string name;
    std::string service;
    double slotSeconds = 0; // time that a request holds a slot
    std::uint64_t answerBytes = 0; // size of one answer
    core::Duration deadline = std::chrono::seconds(10);
};

// A service of the model with its backend servers.
struct ModelService {
    std::string name;
    int servers = 0; // assigned to the failure domains in turn
};

// The parameters of the model. Each region has two failure domains.
struct ModelConfig {
    std::string name;
    int regions = 3;
    int totalMembers = 9; // entry VMs of all regions
    core::Duration oneWayDelay {}; // between any two regions
    double linkCapacityMbitPerSecond = 0; // of the link between any two regions, in each direction
    double headroom = 0.2; // share of the slots kept free, 0 to 1
    std::vector<ModelService> services;
    std::vector<ModelClass> classes;
};

inline ModelConfig foundry()
{
    return { .name = "foundry", .totalMembers = 9, .oneWayDelay = std::chrono::milliseconds(55), .linkCapacityMbitPerSecond = 280, .headroom = 0.25, .services = { { "ledger", 20 }, { "mould", 10 } }, .classes = { { "stock", "ledger", 0.005, 2000 }, { "order", "ledger", 0.02, 1000 }, { "pattern", "mould", 0.5, 2000000 } } };
}

inline ModelConfig schools()
{
    return { .name = "schools", .totalMembers = 8, .oneWayDelay = std::chrono::milliseconds(12), .linkCapacityMbitPerSecond = 4000, .headroom = 0.15, .services = { { "repo-core", 25 }, { "archive-dl", 10 } }, .classes = { { "push", "repo-core", 0.05, 4000 }, { "clone", "repo-core", 0.2, 500000 }, { "archive", "archive-dl", 3, 20000000 } } };
}

// Faults of the digests that are sent to each entry VM.
struct DigestFaults {
    double lost = 0; // share of the digests, 0 to 1
    double duplicated = 0; // share of the digests that arrive, 0 to 1
    int maxDelaySeconds = 0; // each delay is uniform between 0 and this
    double noise = 0; // largest relative error of the demand
};

class SteeringModel {
public:
    SteeringModel(const ModelConfig& modelConfig, DigestFaults digestFaults, std::uint64_t seed)
        : config(modelConfig)
        , faults(digestFaults)
        , random(seed)
    {
        this->declarations.revision = 1;
        for (int region = 0; region < config.regions; ++region) {
            core::RegionDeclaration declaration { .name = regionName(region), .links = {} };
            for (int other = 0; other < config.regions; ++other) {
                if (other != region)
                    declaration.links.push_back({ .toRegion = regionName(other), .oneWayDelay = config.oneWayDelay, .capacityMbitPerSecond = config.linkCapacityMbitPerSecond });
            }
            this->declarations.regions.push_back(std::move(declaration));
            for (int half = 0; half < 2; ++half)
                this->declarations.domains.push_back({ .name = domainName(region * 2 + half), .region = regionName(region), .oneWayDelay = std::chrono::milliseconds(4) });
        }
        for (const ModelClass& modelClass : config.classes) {
            this->declarations.classes.push_back({ .name = modelClass.name, .host = {}, .methods = {}, .pathPrefix = "/" + modelClass.name, .service = modelClass.service, .deadline = modelClass.deadline, .typicalBytes = modelClass.answerBytes });
            this->declarations.targets.push_back({ .className = modelClass.name, .headroom = config.headroom, .allowedRegions = {}, .maxShiftPerMinute = 0.1 });
        }
        this->list = { .version = 1, .receivedAt = this->now, .servers = {} };
        for (const ModelService& service : config.services) {
            for (int i = 0; i < service.servers; ++i)
                this->list.servers.push_back({ .name = service.name + "-" + std::to_string(i), .address = "127.0.0.1:1", .service = service.name, .batch = i % 3 == 2 ? "new" : "old", .domain = domainName(i % (config.regions * 2)) });
        }
        for (int i = 0; i < config.totalMembers; ++i) {
            const std::string name = "vm-" + std::to_string(i);
            this->members.push_back({ .name = name, .address = "127.0.0.1:2", .domain = domainName(i % (config.regions * 2)) });
            this->views.push_back({ .pipe = control::makeControlPipe(), .digests = {}, .pending = {}, .published = {} });
        }
        this->rates.assign(config.classes.size(), std::vector<double>(static_cast<std::size_t>(config.regions), 0));
    }

    // Simulates one second: measures the demand, delivers digests with their faults and runs every entry VM's pipeline.
    void step()
    {
        this->now += std::chrono::seconds(1);
        this->wallTime += std::chrono::seconds(1);
        auto current = std::make_shared<core::Declarations>(this->declarations);
        for (std::size_t domain = 0; domain < this->declarations.domains.size(); ++domain)
            this->sendDigest(domain);
        for (std::size_t i = 0; i < this->views.size(); ++i)
            this->runMember(i, current);
    }

    // The slots that the traffic of all entry VMs occupies in a region, or only the traffic of other regions' callers.
    double loadSlots(const std::string& service, std::size_t region, bool remoteCallersOnly = false) const
    {
        double sum = 0;
        for (std::size_t i = 0; i < this->views.size(); ++i) {
            const std::size_t ownRegion = this->regionOf(i);
            if (!this->views[i].published.table || (remoteCallersOnly && ownRegion == region))
                continue;
            for (std::size_t classIndex = 0; classIndex < this->config.classes.size(); ++classIndex) {
                if (this->config.classes[classIndex].service == service)
                    sum += this->rateOf(i, classIndex) * this->config.classes[classIndex].slotSeconds * this->views[i].published.table->classes[classIndex].regionShares[region];
            }
        }
        return sum;
    }

    // The Mbit/s of answers sent from region `from` to `to`, caused by the spill-overs of `to`.
    double spillLinkMbitPerSecond(std::size_t from, std::size_t to) const
    {
        double sum = 0;
        for (std::size_t i = 0; i < this->views.size(); ++i) {
            if (this->regionOf(i) != to || !this->views[i].published.table)
                continue;
            for (std::size_t classIndex = 0; classIndex < this->config.classes.size(); ++classIndex)
                sum += this->rateOf(i, classIndex) * static_cast<double>(this->config.classes[classIndex].answerBytes) * 8 / 1e6 * this->views[i].published.table->classes[classIndex].regionShares[from];
        }
        return sum;
    }

    // The slots of a service's servers in a region that are not leaving.
    double slots(const std::string& service, std::size_t region) const
    {
        double sum = 0;
        for (const core::ServerListing& server : this->list.servers) {
            if (server.service == service && server.domain.starts_with(regionName(static_cast<int>(region)) + "-") && !server.leaving)
                sum += server.slots;
        }
        return sum;
    }

    // Sets a region's demand for a service in slots, divided equally among the service's classes.
    void setDemandSlots(const std::string& service, std::size_t region, double demand)
    {
        const auto classes = static_cast<double>(std::ranges::count(this->config.classes, service, &ModelClass::service));
        for (std::size_t classIndex = 0; classIndex < this->config.classes.size(); ++classIndex) {
            if (this->config.classes[classIndex].service == service)
                this->rates[classIndex][region] = demand / classes / this->config.classes[classIndex].slotSeconds;
        }
    }

    // The demand of a region's callers for a service.
    double demandSlots(const std::string& service, std::size_t region) const
    {
        double sum = 0;
        for (std::size_t classIndex = 0; classIndex < this->config.classes.size(); ++classIndex)
            sum += this->config.classes[classIndex].service == service ? this->rates[classIndex][region] * this->config.classes[classIndex].slotSeconds : 0;
        return sum;
    }

    std::size_t regionOf(std::size_t member) const { return member % this->declarations.domains.size() / 2; }
    const control::ControlOutput& published(std::size_t member) const { return this->views[member].published; }
    std::size_t memberCount() const { return this->views.size(); }
    // Restarts an entry VM's process, which loses its state. The table of the old process stays published until the
    // next step.
    void restart(std::size_t member) { this->views[member] = { .pipe = control::makeControlPipe(), .digests = {}, .pending = {}, .published = this->views[member].published }; }

    static std::string regionName(int region) { return "r" + std::to_string(region); }
    static std::string domainName(int domain) { return regionName(domain / 2) + "-" + std::to_string(domain % 2); }

    ModelConfig config;
    DigestFaults faults;
    core::Declarations declarations;
    core::ServerList list;
    std::vector<control::MemberInfo> members;
    std::vector<std::vector<double>> rates; // by class and region, requests per second
    std::vector<control::HealthReport> health; // added to the inputs of every entry VM in each step
    std::function<void(std::size_t member, control::ControlInputs&)> adjustInputs; // edits a VM's inputs
    bool digestsMuted = false; // no digests are sent
    core::TimePoint now = core::TimePoint(std::chrono::hours(1));
    core::WallTime wallTime = core::WallTime(std::chrono::hours(1000));

private:
    struct DelayedDigest {
        core::TimePoint due;
        core::DomainDigest digest;
    };
    struct View {
        control::ControlPipe pipe;
        std::deque<core::DomainDigest> digests;
        std::vector<DelayedDigest> pending;
        control::ControlOutput published;
    };

    double membersIn(std::size_t region) const
    {
        double count = 0;
        for (std::size_t i = 0; i < this->views.size(); ++i)
            count += this->regionOf(i) == region;
        return count;
    }
    double rateOf(std::size_t member, std::size_t classIndex) const { return this->rates[classIndex][this->regionOf(member)] / this->membersIn(this->regionOf(member)); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    void sendDigest(std::size_t domain)
    {
        if (this->digestsMuted)
            return;
        core::DomainDigest digest { .domain = this->declarations.domains[domain].name, .measuredAt = this->now, .members = 0, .classes = {}, .capacities = {} };
        for (std::size_t classIndex = 0; classIndex < this->config.classes.size(); ++classIndex)
            digest.classes.push_back({ .className = this->config.classes[classIndex].name, .meanTime = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(this->config.classes[classIndex].slotSeconds)) });
        for (std::size_t i = 0; i < this->views.size(); ++i) {
            if (i % this->declarations.domains.size() != domain)
                continue;
            ++digest.members;
            for (std::size_t classIndex = 0; classIndex < this->config.classes.size(); ++classIndex)
                digest.classes[classIndex].demand += this->rateOf(i, classIndex) * (1 + this->faults.noise * (2 * this->uniform() - 1));
        }
        for (View& view : this->views) {
            if (this->uniform() < this->faults.lost)
                continue;
            const int copies = this->uniform() < this->faults.duplicated ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const auto delay = std::chrono::milliseconds(static_cast<int>(this->uniform() * this->faults.maxDelaySeconds * 1000));
                view.pending.push_back({ .due = this->now + delay, .digest = digest });
            }
        }
    }

    void runMember(std::size_t i, const std::shared_ptr<const core::Declarations>& current)
    {
        View& view = this->views[i];
        std::erase_if(view.pending, [&](const DelayedDigest& delayed) {
            if (delayed.due > this->now)
                return false;
            view.digests.push_back(delayed.digest);
            return true;
        });
        while (view.digests.size() > 3 * this->declarations.domains.size())
            view.digests.pop_front();
        control::ControlInputs inputs { .declarations = current, .serverList = this->list, .healthReports = this->health, .digests = { view.digests.begin(), view.digests.end() }, .members = this->members, .self = this->members[i].name, .selfDomain = this->members[i].domain, .wallTime = this->wallTime };
        if (this->adjustInputs)
            this->adjustInputs(i, inputs);
        auto outcome = view.pipe(std::move(inputs), this->now);
        if (!outcome.ended())
            view.published = std::move(outcome.output());
    }

    core::RandomEngine random;
    std::vector<View> views;
};

}
