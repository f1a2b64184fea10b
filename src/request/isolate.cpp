#include "request/isolate.h"

#include "core/hash.h"
#include "request/rebind.h"

#include <algorithm>
#include <tuple>

namespace cranberryshed::request {

Next<Done> IsolateSuspects::operator()(Done, core::TimePoint now) const
{
    const std::vector<core::RequestId> waiting(this->state.waitingSuspects.begin(), this->state.waitingSuspects.end());
    for (core::RequestId id : waiting) {
        if (ActiveRequest* request = this->state.find(id))
            this->tryRun(*request, now);
    }
    return Next<Done>::pass({});
}

bool IsolateSuspects::tryRun(ActiveRequest& request, core::TimePoint now) const
{
    if (Rebind { this->state }({ .request = &request }, now).ended())
        return false;
    const Suspicion suspicion = this->state.shared.crashes->suspicion(request.context.fingerprint, *this->state.table, now);
    if (suspicion == Suspicion::Quarantined) {
        this->state.reject(request, core::ErrorKind::Quarantined, now);
        return false;
    }
    if (!this->reserve(request, now) || !request.reservation->tryEnterReserved())
        return false;
    const std::vector<core::ServerEntry>& servers = request.context.table->servers;
    const auto server = std::ranges::find(servers, request.reservedServerKey, &core::ServerEntry::key);
    std::erase(this->state.waitingSuspects, request.context.arrival.request);
    request.reservation.reset();
    const core::ServerIndex index { static_cast<std::uint32_t>(server - servers.begin()) };
    Send { this->state }({ .attempt = { .request = &request, .reason = AttemptReason::Retry }, .server = index, .isolated = true }, now);
    return true;
}

// Reserves a server for the request, if it has none that still accepts new work. Returns whether it has one.
bool IsolateSuspects::reserve(ActiveRequest& request, core::TimePoint now) const
{
    const core::SteeringTable& table = *request.context.table;
    if (request.reservation) {
        const auto server = std::ranges::find(table.servers, request.reservedServerKey, &core::ServerEntry::key);
        if (server != table.servers.end() && isActiveOrWarming(*server) && server->slotCounter == request.reservation)
            return true;
        this->state.endReservation(request);
    }
    if (this->state.reservedServerCount >= this->state.options.maxIsolations)
        return false;
    if (!this->state.shared.crashes->beginIsolation(request.context.fingerprint))
        return false;
    for (core::ServerIndex index : this->candidates(request, now)) {
        const core::ServerEntry& server = table.at(index);
        if (!server.slotCounter->tryReserve())
            continue;
        request.reservation = server.slotCounter;
        request.reservedServerKey = server.key;
        ++this->state.reservedServerCount;
        return true;
    }
    this->state.shared.crashes->endIsolation(request.context.fingerprint);
    return false;
}

std::vector<core::ServerIndex> IsolateSuspects::candidates(const ActiveRequest& request, core::TimePoint now) const
{
    const Context& context = request.context;
    const Exclusions excluded = this->state.exclusionsFor(request, now);
    using Rank = std::tuple<bool, bool, bool, std::uint32_t, std::uint64_t, core::ServerIndex>;
    std::vector<Rank> ranks;
    for (core::ServerIndex index : context.classEntry().servers) {
        const core::ServerEntry& server = context.table->at(index);
        if (!isActiveOrWarming(server) || std::ranges::find(excluded.servers, index) != excluded.servers.end())
            continue;
        const std::uint32_t inFlight = server.slotCounter->inFlight();
        ranks.emplace_back(this->state.recentFailures.isFailing(server.key, now), inFlight > 0, !server.isHome, inFlight, core::hashCombine(static_cast<std::uint64_t>(context.fingerprint), server.key), index);
    }
    std::ranges::sort(ranks);
    std::vector<core::ServerIndex> result;
    result.reserve(ranks.size());
    for (const Rank& rank : ranks)
        result.push_back(std::get<core::ServerIndex>(rank));
    return result;
}

}
