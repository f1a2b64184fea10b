#pragma once

#include "request/fair_queue.h"

#include <deque>
#include <set>

namespace cranberryshed::request {

// The requests of one traffic thread that can no longer be answered within their target latency, in the order in
// which they are worth most.
//
// Under overload every server slot goes to a request that is still in time, so these wait for idle slots: the more
// urgent class first, then the request with the earliest deadline. A request that is not expected to get one
// before its deadline is refused when it arrives, not when its deadline has passed.
class DeadlineQueue {
public:
    struct Options {
        std::size_t maxRequests = 500; // requests
        std::size_t maxTriesPerCall = 64; // requests that next() tries
        core::Duration rateAveragingTime = std::chrono::seconds(1); // over which the starts from this queue are averaged
        double minStartRate = 4; // starts per second that are assumed while none was seen
    };

    explicit DeadlineQueue(Options queueOptions)
        : options(queueOptions)
    {
    }

    OfferResult offer(const WaitingRequest&, double slots, core::TimePoint now);

    // As FairQueue::next().
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
    std::set<std::pair<core::TimePoint, core::RequestId>> latestStarts; // deadline less service time
    std::unordered_map<std::uint64_t, StartRate> startRates; // by pool
};

}
