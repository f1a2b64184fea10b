#pragma once

#include "control/pipeline.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <numeric>

// A small model of a fleet's control plane for tests and benchmarks: each entry VM runs its own control pipeline on
// its own view, and the true load of each region follows from the shares that all of them publish.
namespace cranberryshed::testing {

struct ModelClass {
    std::string name;
    std::string service;
    double slotSeconds = 0; // that a request holds a slot
    std::uint64_t answerBytes = 0; // of an answer
    core::Duration deadline = std::chrono::seconds(10);
};

struct ModelService {
    std::string name;
    int servers = 0; // spread over the failure domains in turn
};

struct ModelConfig {
    std::string name;
    int regions = 3;
    int totalMembers = 9;
    core::Duration oneWayDelay {};
    double linkCapacityMbit = 0;
    double headroom = 0.2;
    std::vector<ModelService> services;
    std::vector<ModelClass> classes;
};

inline ModelConfig foundry()
{
    return { .name = "foundry", .totalMembers = 9, .oneWayDelay = std::chrono::milliseconds(55), .linkCapacityMbit = 280, .headroom = 0.25, .services = { { "ledger", 20 }, { "mould", 10 } }, .classes = { { "stock", "ledger", 0.005, 2000 }, { "order", "ledger", 0.02, 1000 }, { "pattern", "mould", 0.5, 2000000 } } };
}

inline ModelConfig schools()
{
    return { .name = "schools", .totalMembers = 8, .oneWayDelay = std::chrono::milliseconds(12), .linkCapacityMbit = 4000, .headroom = 0.15, .services = { { "repo-core", 25 }, { "archive-dl", 10 } }, .classes = { { "push", "repo-core", 0.05, 4000 }, { "clone", "repo-core", 0.2, 500000 }, { "archive", "archive-dl", 3, 20000000 } } };
}

// What may happen to the digests on their way to one entry VM.
struct DigestFaults {
    double lost = 0; // share of the digests
    double duplicated = 0;
    int maxDelaySeconds = 0; // largest delay
    double noise = 0; // relative error of the demand
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
                    declaration.links.push_back({ .toRegion = regionName(other), .oneWayDelay = config.oneWayDelay, .capacityMbitPerSecond = config.linkCapacityMbit });
            }
            this->declarations.regions.push_back(std::move(declaration));
            for (int half = 0; half < 2; ++half)
                this->declarations.domains.push_back({ .name = domainName(region * 2 + half), .region = regionName(region), .oneWayDelay = std::chrono::milliseconds(4) });
        }
        for (const ModelClass& item : config.classes) {
            this->declarations.classes.push_back({ .name = item.name, .host = {}, .methods = {}, .pathPrefix = "/" + item.name, .service = item.service, .deadline = item.deadline, .typicalBytes = item.answerBytes });
            this->declarations.targets.push_back({ .className = item.name, .headroom = config.headroom, .allowedRegions = {}, .maxShiftPerMinute = 0.1 });
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

    // One second: measures the demand, delivers digests with their faults and runs every entry VM's pipeline.
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

    // Slots that the shares of all entry VMs take in a region: all traffic, or that of other regions' callers.
    double loadSlots(const std::string& service, std::size_t region, bool remoteCallersOnly = false) const
    {
        double sum = 0;
        for (std::size_t i = 0; i < this->views.size(); ++i) {
            const std::size_t own = this->regionOf(i);
            if (!this->views[i].published.table || (remoteCallersOnly && own == region))
                continue;
            for (std::size_t item = 0; item < this->config.classes.size(); ++item) {
                if (this->config.classes[item].service == service)
                    sum += this->rateOf(i, item) * this->config.classes[item].slotSeconds * this->views[i].published.table->classes[item].regionShares[region];
            }
        }
        return sum;
    }

    // Mbit/s of answers that the spill-overs of one region fetch from another.
    double spillLinkMbit(std::size_t from, std::size_t to) const
    {
        double sum = 0;
        for (std::size_t i = 0; i < this->views.size(); ++i) {
            if (this->regionOf(i) != to || !this->views[i].published.table)
                continue;
            for (std::size_t item = 0; item < this->config.classes.size(); ++item)
                sum += this->rateOf(i, item) * static_cast<double>(this->config.classes[item].answerBytes) * 8 / 1e6 * this->views[i].published.table->classes[item].regionShares[from];
        }
        return sum;
    }

    // All slots of a service's working servers in a region.
    double slots(const std::string& service, std::size_t region) const
    {
        double sum = 0;
        for (const core::ServerListing& server : this->list.servers) {
            if (server.service == service && server.domain.starts_with(regionName(static_cast<int>(region)) + "-") && !server.leaving)
                sum += server.slots;
        }
        return sum;
    }

    // Sets a region's demand for a service in slots, in the mix of equal slots of its classes.
    void setDemandSlots(const std::string& service, std::size_t region, double needed)
    {
        const auto classes = static_cast<double>(std::ranges::count(this->config.classes, service, &ModelClass::service));
        for (std::size_t item = 0; item < this->config.classes.size(); ++item) {
            if (this->config.classes[item].service == service)
                this->rates[item][region] = needed / classes / this->config.classes[item].slotSeconds;
        }
    }

    double demandSlots(const std::string& service, std::size_t region) const
    {
        double sum = 0;
        for (std::size_t item = 0; item < this->config.classes.size(); ++item)
            sum += this->config.classes[item].service == service ? this->rates[item][region] * this->config.classes[item].slotSeconds : 0;
        return sum;
    }

    std::size_t regionOf(std::size_t member) const { return member % this->declarations.domains.size() / 2; }
    const control::ControlOutput& published(std::size_t member) const { return this->views[member].published; }
    std::size_t memberCount() const { return this->views.size(); }
    // Replaces an entry VM's process: its state is lost.
    void restart(std::size_t member) { this->views[member] = { .pipe = control::makeControlPipe(), .digests = {}, .pending = {}, .published = this->views[member].published }; }

    static std::string regionName(int region) { return "r" + std::to_string(region); }
    static std::string domainName(int domain) { return regionName(domain / 2) + "-" + std::to_string(domain % 2); }

    ModelConfig config;
    DigestFaults faults;
    core::Declarations declarations;
    core::ServerList list;
    std::vector<control::MemberInfo> members;
    std::vector<std::vector<double>> rates; // by class and region, requests per second
    std::vector<control::HealthReport> health; // given to every entry VM in the next step
    std::function<void(std::size_t member, control::ControlInputs&)> adjustInputs; // changes one entry VM's sources
    bool digestsMuted = false; // no digest is sent
    core::TimePoint now = core::TimePoint(std::chrono::hours(1));
    core::WallTime wallTime = core::WallTime(std::chrono::hours(1000));

private:
    struct Late {
        core::TimePoint due;
        core::DomainDigest digest;
    };
    struct View {
        control::ControlPipe pipe;
        std::deque<core::DomainDigest> digests;
        std::vector<Late> pending;
        control::ControlOutput published;
    };

    double membersIn(std::size_t region) const
    {
        double count = 0;
        for (std::size_t i = 0; i < this->views.size(); ++i)
            count += this->regionOf(i) == region;
        return count;
    }
    double rateOf(std::size_t member, std::size_t item) const { return this->rates[item][this->regionOf(member)] / this->membersIn(this->regionOf(member)); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    void sendDigest(std::size_t domain)
    {
        if (this->digestsMuted)
            return;
        core::DomainDigest digest { .domain = this->declarations.domains[domain].name, .measuredAt = this->now, .members = 0, .classes = {}, .capacities = {} };
        for (std::size_t item = 0; item < this->config.classes.size(); ++item)
            digest.classes.push_back({ .className = this->config.classes[item].name, .meanTime = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(this->config.classes[item].slotSeconds)) });
        for (std::size_t i = 0; i < this->views.size(); ++i) {
            if (i % this->declarations.domains.size() != domain)
                continue;
            ++digest.members;
            for (std::size_t item = 0; item < this->config.classes.size(); ++item)
                digest.classes[item].demand += this->rateOf(i, item) * (1 + this->faults.noise * (2 * this->uniform() - 1));
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
        std::erase_if(view.pending, [&](const Late& late) {
            if (late.due > this->now)
                return false;
            view.digests.push_back(late.digest);
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
