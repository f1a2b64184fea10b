#include "request/fair_queue.h"

#include <algorithm>

namespace cranberryshed::request {

namespace {

    double seconds(core::Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    core::TimePoint latestStart(const WaitingRequest& request)
    {
        return request.deadline - request.slotTime;
    }

}

OfferResult FairQueue::offer(const WaitingRequest& request, double slots, core::TimePoint now)
{
    const core::Duration slack = latestStart(request) - now;
    if (slack < core::Duration::zero())
        return { .rejection = core::ErrorKind::DeadlineTooShort, .evicted = {} };
    const core::Duration wait = this->expectedWait(request.serviceKey, request.classKey, slots);
    const auto found = this->classes.find(request.classKey);
    const bool standing = found != this->classes.end() && this->isStanding(found->second, now);
    // A standing queue is served newest first, so the queued work does not delay this request.
    if (!standing && wait > slack)
        return { .rejection = core::ErrorKind::DeadlineTooShort, .evicted = {} };
    OfferResult answer;
    if (this->waiting.size() >= this->options.maxRequests || wait > std::min(slack, this->options.maxExpectedWait)) {
        answer.evicted = this->chooseEvicted(request, now);
        if (!answer.evicted) {
            answer.rejection = core::ErrorKind::Overloaded;
            return answer;
        }
        this->erase(*answer.evicted, now);
    }
    this->insert(request, now);
    return answer;
}

bool FairQueue::remove(core::RequestId request, core::TimePoint now)
{
    if (!this->waiting.contains(request))
        return false;
    this->erase(request, now);
    return true;
}

std::vector<core::RequestId> FairQueue::expire(core::TimePoint now)
{
    std::vector<core::RequestId> expired;
    while (!this->latestStarts.empty() && this->latestStarts.begin()->first < now) {
        expired.push_back(this->latestStarts.begin()->second);
        this->erase(expired.back(), now);
    }
    return expired;
}

std::optional<core::TimePoint> FairQueue::nextDeadline() const
{
    if (this->latestStarts.empty())
        return std::nullopt;
    return this->latestStarts.begin()->first + core::Duration(1);
}

// A class gets at least an equal share of the slots, and waits at most for all queued work of its service.
core::Duration FairQueue::expectedWait(std::uint64_t serviceKey, std::uint64_t classKey, double slots) const
{
    double serviceWork = 0;
    double classWork = 0;
    double sharing = 1;
    for (const auto& [key, entry] : this->classes) {
        if (entry.serviceKey != serviceKey || entry.callers.empty())
            continue;
        serviceWork += entry.work;
        if (key == classKey)
            classWork = entry.work;
        else
            sharing += 1;
    }
    const double ahead = std::min(serviceWork, classWork * sharing) / std::max(slots, 1.0);
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(ahead));
}

std::vector<std::uint64_t> FairQueue::classOrder() const
{
    std::vector<std::pair<double, std::uint64_t>> order;
    for (const auto& [key, entry] : this->classes) {
        if (!entry.callers.empty())
            order.emplace_back(entry.start, key);
    }
    std::ranges::sort(order);
    std::vector<std::uint64_t> keys;
    keys.reserve(order.size());
    for (const auto& [start, key] : order)
        keys.push_back(key);
    return keys;
}

// The requests of a class to try next: one per caller, in order of the callers' virtual start times.
std::vector<core::RequestId> FairQueue::candidates(std::uint64_t classKey, core::TimePoint now) const
{
    const ClassQueue& entry = this->classes.at(classKey);
    const bool newestFirst = this->isStanding(entry, now);
    std::vector<core::RequestId> found;
    for (const auto& [start, caller] : entry.callerOrder) {
        if (found.size() == this->options.maxTriesPerClass)
            break;
        const std::set<Position>& requests = entry.callers.at(caller).requests;
        found.push_back(newestFirst ? requests.rbegin()->second : requests.begin()->second);
    }
    return found;
}

bool FairQueue::isStanding(const ClassQueue& entry, core::TimePoint now) const
{
    if (entry.callers.empty())
        return false;
    const double limit = std::max(seconds(this->options.minStandingTime), seconds(entry.slotTime) * this->options.minStandingSlotTimes);
    return seconds(now - entry.standingSince) > limit;
}

// Advances the virtual start times of the request's class and caller by its expected slot time.
void FairQueue::charge(core::RequestId id)
{
    const WaitingRequest& request = this->waiting.at(id);
    ClassQueue& entry = this->classes.at(request.classKey);
    this->serviceClocks[request.serviceKey] = entry.start;
    entry.start += seconds(request.slotTime);

    CallerQueue& callerQueue = entry.callers.at(request.caller);
    entry.callerClock = callerQueue.start;
    entry.callerOrder.erase({ callerQueue.start, request.caller });
    callerQueue.start += seconds(request.slotTime);
    entry.callerOrder.emplace(callerQueue.start, request.caller);
}

void FairQueue::insert(const WaitingRequest& request, core::TimePoint now)
{
    ClassQueue& entry = this->classes[request.classKey];
    entry.serviceKey = request.serviceKey;
    entry.slotTime = request.slotTime;
    if (entry.callers.empty()) {
        entry.standingSince = now;
        entry.work = 0;
        entry.start = std::max(entry.start, this->serviceClocks[request.serviceKey]);
    }
    auto [place, added] = entry.callers.try_emplace(request.caller);
    if (added) {
        place->second.start = entry.callerClock;
        entry.callerOrder.emplace(entry.callerClock, request.caller);
    }
    place->second.requests.emplace(request.arrival, request.request);
    entry.work += seconds(request.slotTime);
    this->latestStarts.emplace(latestStart(request), request.request);
    this->waiting.emplace(request.request, request);
}

void FairQueue::erase(core::RequestId id, core::TimePoint)
{
    const auto found = this->waiting.find(id);
    const WaitingRequest& request = found->second;
    ClassQueue& entry = this->classes.at(request.classKey);
    const auto place = entry.callers.find(request.caller);
    place->second.requests.erase({ request.arrival, id });
    if (place->second.requests.empty()) {
        entry.callerOrder.erase({ place->second.start, request.caller });
        entry.callers.erase(place);
    }
    entry.work -= seconds(request.slotTime);
    this->latestStarts.erase({ latestStart(request), id });
    this->waiting.erase(found);
}

// Chooses the queued request that is evicted for the offered one: among the requests of the caller with the most
// requests in the class, the one that would be served last. Returns nothing if that is the offered request itself.
std::optional<core::RequestId> FairQueue::chooseEvicted(const WaitingRequest& request, core::TimePoint now) const
{
    const auto found = this->classes.find(request.classKey);
    if (found == this->classes.end() || found->second.callers.empty())
        return std::nullopt;
    const ClassQueue& entry = found->second;
    const auto longest = std::ranges::max_element(entry.callers, {}, [](const auto& item) { return item.second.requests.size(); });
    const std::set<Position>& requests = longest->second.requests;
    if (this->isStanding(entry, now))
        return requests.begin()->second;
    const auto own = entry.callers.find(request.caller);
    const std::size_t ownCount = own == entry.callers.end() ? 0 : own->second.requests.size();
    if (ownCount + 1 >= requests.size())
        return std::nullopt;
    return requests.rbegin()->second;
}

}
