#pragma once

#include "request/fair_queue.h"

#include <deque>
#include <set>

namespace cranberryshed::request {

// Priority queue of the requests of one traffic thread that can no longer meet their class's target latency.
//
// Under overload, requests that can still meet their target get every server slot, so these wait for idle slots: by
// priority of the class, then by deadline. A request that is not expected to get a slot before its deadline is rejected
// on arrival rather than when its deadline has passed.
class DeadlineQueue {
public:
    struct Options {
        std::size_t maxRequests = 500; // bound on the queued requests
        std::size_t maxTriesPerCall = 64; // bound on the requests that one call of next() tries
        core::Duration rateAveragingTime = std::chrono::seconds(1); // time constant of the average rate of starts from this queue
        double minStartRate = 4; // starts per second; lower bound of the rate that is used to estimate waits
    };

    explicit DeadlineQueue(Options queueOptions)
        : options(queueOptions)
    {
    }

    // Like FairQueue::offer(), but ignores `slots`: the wait is estimated from the recent rate of starts.
    OfferResult offer(const WaitingRequest&, double slots, core::TimePoint now);

    // Like FairQueue::next().
    template <typename TryStart>
    std::optional<core::RequestId> next(core::TimePoint now, TryStart&& tryStart)
    {
        std::size_t tries = 0;
        for (const Position& position : this->order) {
            if (++tries > this->options.maxTriesPerCall)
                break;
            const core::RequestId request = position.request;
            if (!tryStart(std::as_const(this->waiting.at(request))))
                continue;
            this->countStart(this->waiting.at(request).serviceKey, now);
            this->erase(request);
            return request;
        }
        return std::nullopt;
    }

    // Like FairQueue::remove() and FairQueue::expire().
    bool remove(core::RequestId, core::TimePoint now);
    std::vector<core::RequestId> expire(core::TimePoint now);
    std::size_t size() const { return this->waiting.size(); }

private:
    struct Position {
        unsigned priority = 0;
        core::TimePoint deadline {};
        core::RequestId request {};

        auto operator<=>(const Position&) const = default;
    };

    struct StartRate {
        double rate = 0; // per second
        core::TimePoint updatedAt {};
    };

    static Position positionOf(const WaitingRequest& request) { return { .priority = request.priority, .deadline = request.deadline, .request = request.request }; }
    core::Duration expectedWait(const WaitingRequest&, core::TimePoint now) const;
    void countStart(std::uint64_t serviceKey, core::TimePoint now);
    void erase(core::RequestId);

    Options options;
    std::unordered_map<core::RequestId, WaitingRequest> waiting;
    std::set<Position> order;
    std::set<std::pair<core::TimePoint, core::RequestId>> latestStarts; // by deadline minus expected slot time
    std::unordered_map<std::uint64_t, StartRate> startRates; // by serviceKey
};

}
