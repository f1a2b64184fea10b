#include "app/status_writer.h"

#include "core/errors.h"
#include "wire/clock.h"
#include "wire/log.h"

#include <algorithm>

namespace cranberryshed::app {

namespace asio = wire::asio;

namespace {

    constexpr const char* leaseKind = "lease";
    constexpr const char* leaseName = "status";
    constexpr const char* statusKind = "status";

    struct ServiceSlots {
        std::uint64_t total = 0;
        std::uint64_t busy = 0;
    };

    // Every entry VM counts all slots of a service in a region, but only its own requests. A digest adds up the entry
    // VMs of a failure domain, so its slots are divided by their number. Over the domains, the total is the maximum and
    // the busy slots are the sum.
    std::map<std::string, ServiceSlots> slotsByService(const control::ControlInputs& inputs)
    {
        std::map<std::string, std::map<std::string, ServiceSlots>> byRegion;
        for (const core::DomainDigest& digest : inputs.digests) {
            for (const core::ServiceCapacity& capacity : digest.capacities) {
                ServiceSlots& serviceSlots = byRegion[capacity.service][capacity.region];
                const std::uint32_t members = std::max(1U, digest.members);
                serviceSlots.total = std::max<std::uint64_t>(serviceSlots.total, capacity.slots / members);
                serviceSlots.busy += capacity.busy;
            }
        }
        std::map<std::string, ServiceSlots> result;
        for (const auto& [service, regions] : byRegion) {
            for (const auto& [region, serviceSlots] : regions) {
                result[service].total += serviceSlots.total;
                result[service].busy += serviceSlots.busy;
            }
        }
        return result;
    }

    double freeShare(const ServiceSlots& serviceSlots)
    {
        if (serviceSlots.total == 0)
            return 0;
        return std::clamp(1 - static_cast<double>(serviceSlots.busy) / static_cast<double>(serviceSlots.total), 0.0, 1.0);
    }

    declare::ClassStatus classStatus(const control::ControlInputs& inputs, const core::ClassDeclaration& declared, const std::map<std::string, ServiceSlots>& services)
    {
        declare::ClassStatus status { .className = declared.name };
        for (const core::DomainDigest& digest : inputs.digests) {
            for (const core::ClassLoad& load : digest.classes) {
                if (load.className != declared.name)
                    continue;
                status.latency = std::max(status.latency, load.tailLatency);
                status.requestsPerSecond += load.demand;
                status.rejectedPerSecond += load.rejected;
            }
        }
        const auto serviceSlots = services.find(declared.service);
        status.headroom = serviceSlots == services.end() ? 0 : freeShare(serviceSlots->second);
        return status;
    }

}

declare::FleetStatus computeStatus(const control::ControlInputs& inputs, const control::ControlOutput& published, core::WallTime wallTime)
{
    declare::FleetStatus status { .writtenAt = wallTime };
    status.members = static_cast<std::uint32_t>(std::ranges::count_if(inputs.members, [](const control::MemberInfo& member) { return member.state == core::MemberState::Alive; }));
    if (!inputs.declarations)
        return status;
    const std::map<std::string, ServiceSlots> services = slotsByService(inputs);
    for (const core::ClassDeclaration& declared : inputs.declarations->classes)
        status.classes.push_back(classStatus(inputs, declared, services));
    for (const control::DrainReport& drain : published.drains)
        status.drains.push_back({ .batch = drain.batch, .remainingShare = drain.share, .expectedEnd = drain.expectedFinish, .endsInTime = drain.state != control::DrainState::Late && drain.state != control::DrainState::Blocked });
    return status;
}

StatusWriter::StatusWriter(asio::io_context& owner, platform::NativeStoreClient& storeClient, Options writerOptions, StatusCallback statusCallback)
    : context(owner)
    , client(storeClient)
    , options(std::move(writerOptions))
    , computeCurrentStatus(std::move(statusCallback))
    , lease({ .holder = this->options.holder })
{
}

void StatusWriter::setCompeting(bool wanted)
{
    if (wanted == static_cast<bool>(this->activeFlag))
        return;
    if (!wanted) {
        *this->activeFlag = false;
        this->activeFlag.reset();
        return;
    }
    this->activeFlag = std::make_shared<bool>(true);
    asio::co_spawn(this->context, this->writeLoop(this->activeFlag), asio::detached);
}

asio::awaitable<void> StatusWriter::writeLoop(std::shared_ptr<bool> active)
{
    asio::steady_timer timer(this->context);
    core::TimePoint nextWrite = wire::steadyNow();
    while (*active) {
        this->lease.recordEra(this->client.era()); // other calls of the client may have shown it
        co_await this->advanceLease();
        if (!*active)
            co_return;
        if (this->lease.isHeld(wire::steadyNow()) && wire::steadyNow() >= nextWrite) {
            co_await this->writeStatus();
            nextWrite = wire::steadyNow() + this->options.interval;
        }
        const core::TimePoint wake = this->lease.isHeld(wire::steadyNow()) ? std::min(nextWrite, this->lease.nextStepTime()) : this->lease.nextStepTime();
        timer.expires_at(std::max(wake, wire::steadyNow() + std::chrono::milliseconds(100)));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

// Reads, acquires or renews the lease, depending on the next step.
asio::awaitable<void> StatusWriter::advanceLease()
{
    try {
        if (this->lease.nextStep(wire::steadyNow()) == store::LeaseStep::Read) {
            const store::StoredObject current = co_await this->client.get(leaseKind, leaseName);
            this->lease.recordEra(this->client.era());
            this->lease.recordRead(current, wire::steadyNow());
        }
        if (this->lease.nextStep(wire::steadyNow()) == store::LeaseStep::Write) {
            const core::TimePoint sentAt = wire::steadyNow();
            core::Object object;
            object.kind = leaseKind;
            object.name = leaseName;
            object.content = this->lease.content();
            const store::WriteResult result = co_await this->client.put(object, this->lease.ifVersion());
            this->lease.recordEra(this->client.era());
            this->lease.recordWrite(result, sentAt, wire::steadyNow());
        }
    } catch (const core::Error& error) {
        wire::log(core::LogComponent::Store, spdlog::level::debug, "could not acquire or renew the status lease: {}", error.what());
        this->lease.recordFailure(wire::steadyNow());
    }
}

asio::awaitable<void> StatusWriter::writeStatus()
{
    const std::uint64_t term = this->lease.term();
    const std::optional<declare::FleetStatus> measured = this->computeCurrentStatus();
    if (!measured)
        co_return;
    try {
        if (!this->writes.ifVersion(term)) {
            const store::StoredObject current = co_await this->client.get(statusKind, declare::fleetStatusName);
            this->writes.recordRead(term, current.object.version.version);
        }
        const core::Object object = declare::fleetStatusObject(*measured);
        const store::WriteResult result = co_await this->client.put(object, *this->writes.ifVersion(term));
        this->writes.recordWrite(term, result);
    } catch (const core::Error& error) {
        wire::log(core::LogComponent::Store, spdlog::level::debug, "could not write the status object: {}", error.what());
    }
}

}
