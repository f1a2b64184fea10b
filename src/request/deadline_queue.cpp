#include "request/deadline_queue.h"

#include <algorithm>
#include <cmath>

namespace cranberryshed::request {

namespace {

    core::TimePoint latestStart(const WaitingRequest& request)
    {
        return request.deadline - request.slotTime;
    }

    double seconds(core::Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

}

OfferResult DeadlineQueue::offer(const WaitingRequest& request, double, core::TimePoint now)
{
    if (latestStart(request) < now)
        return { .rejection = core::ErrorKind::DeadlineTooShort, .evicted = {}, .retryAfter = {} };
    const core::Duration wait = this->expectedWait(request, now);
    if (this->waiting.size() >= this->options.maxRequests || now + wait > latestStart(request))
        return { .rejection = core::ErrorKind::Overloaded, .evicted = {}, .retryAfter = wait };
    this->order.insert(positionOf(request));
    this->latestStarts.emplace(latestStart(request), request.request);
    this->waiting.emplace(request.request, request);
    return {};
}

// The queued requests of the same service that are ahead of this one, including itself, divided by the recent rate at
// which requests of the service started from this queue.
core::Duration DeadlineQueue::expectedWait(const WaitingRequest& request, core::TimePoint now) const
{
    std::size_t ahead = 1;
    for (auto place = this->order.begin(); place != this->order.end() && *place < positionOf(request); ++place)
        ahead += this->waiting.at(place->request).serviceKey == request.serviceKey ? 1 : 0;
    double rate = this->options.minStartRate;
    if (const auto found = this->startRates.find(request.serviceKey); found != this->startRates.end())
        rate = std::max(rate, found->second.rate * std::exp(-seconds(now - found->second.updatedAt) / seconds(this->options.rateAveragingTime)));
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(static_cast<double>(ahead) / rate));
}

void DeadlineQueue::countStart(std::uint64_t serviceKey, core::TimePoint now)
{
    StartRate& counted = this->startRates[serviceKey];
    const double averagingSeconds = seconds(this->options.rateAveragingTime);
    counted.rate = counted.rate * std::exp(-seconds(now - counted.updatedAt) / averagingSeconds) + 1 / averagingSeconds;
    counted.updatedAt = now;
}

bool DeadlineQueue::remove(core::RequestId request, core::TimePoint)
{
    if (!this->waiting.contains(request))
        return false;
    this->erase(request);
    return true;
}

std::vector<core::RequestId> DeadlineQueue::expire(core::TimePoint now)
{
    std::vector<core::RequestId> expired;
    while (!this->latestStarts.empty() && this->latestStarts.begin()->first < now) {
        expired.push_back(this->latestStarts.begin()->second);
        this->erase(expired.back());
    }
    return expired;
}

void DeadlineQueue::erase(core::RequestId id)
{
    const auto found = this->waiting.find(id);
    this->order.erase(positionOf(found->second));
    this->latestStarts.erase({ latestStart(found->second), id });
    this->waiting.erase(found);
}

}
