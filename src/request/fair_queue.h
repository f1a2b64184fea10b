#pragma once

#include "core/errors.h"
#include "core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cranberryshed::request {

// A request that waits for a slot, with the properties by which the queues order it.
//
// Classes and services are identified by hashes of their names, which stay valid when the steering table changes.
struct WaitingRequest {
    core::RequestId request {};
    std::uint64_t serviceKey = 0; // hash of the service's name; the classes of a service compete for the same slots
    std::uint64_t classKey = 0; // hash of the class's name
    core::CallerAddress caller {};
    core::TimePoint arrival {};
    core::TimePoint deadline {};
    core::Duration slotTime {}; // expected time for which it will hold a slot
    unsigned priority = 0; // of its class; 0 is the highest
};

// The result of offering a request to a queue. An evicted request has left the queue in favour of the offered one
// and has not run; the caller of offer() must reject it with ErrorKind::Overloaded.
struct OfferResult {
    std::optional<core::ErrorKind> rejection; // Overloaded or DeadlineTooShort; none: the request was queued
    std::optional<core::RequestId> evicted;
    std::optional<core::Duration> retryAfter {}; // with a rejection: when the queue is expected to accept it
};

// Fair queue of the requests of one traffic thread that wait for a slot.
//
// Its length is bounded by the expected wait. The classes of a service share slot time equally, and so do the callers
// of a class (start-time fair queueing), so a class of short work goes first unless it has used more than its share.
// Each caller is served in FIFO order, and in LIFO order once the class has a standing queue: then the oldest requests
// would be late in any case, and serving them first would make every request late.
class FairQueue {
public:
    struct Options {
        std::size_t maxRequests = 2000; // bound on the requests of all classes together
        core::Duration maxExpectedWait = std::chrono::seconds(2); // a request with a longer expected wait is rejected or evicts another one
        core::Duration minStandingTime = std::chrono::milliseconds(100); // a queue is standing (a sign of overload) if it has been non-empty for longer than this ...
        double minStandingSlotTimes = 8; // ... and for longer than this many slot times of the request queued last
        std::size_t maxTriesPerClass = 3; // bound on the requests of a class that one call of next() tries
    };

    explicit FairQueue(Options queueOptions)
        : options(queueOptions)
    {
    }

    // Queues the request, or returns why it is rejected. `slots` is the number of slots that serve the request's class
    // from this queue, at least 1. While requests wait, all slots available to this thread are in use, so its number
    // of attempts in flight in the class's lane is a fair estimate.
    OfferResult offer(const WaitingRequest&, double slots, core::TimePoint now);

    // Calls `tryStart(const WaitingRequest&)` for the candidates in order until it returns true. That request is
    // removed and returned. Returns nothing if no candidate could start.
    template <typename TryStart>
    std::optional<core::RequestId> next(core::TimePoint now, TryStart&& tryStart)
    {
        for (std::uint64_t classKey : this->classOrder()) {
            for (core::RequestId request : this->candidates(classKey, now)) {
                if (!tryStart(std::as_const(this->waiting.at(request))))
                    continue;
                this->charge(request);
                this->erase(request, now);
                return request;
            }
        }
        return std::nullopt;
    }

    // Removes a request, for example because its caller has disconnected. Returns false if it is not queued.
    bool remove(core::RequestId, core::TimePoint now);

    // Removes and returns the requests that can no longer finish before their deadline, in order of their latest start.
    std::vector<core::RequestId> expire(core::TimePoint now);

    // The earliest time at which expire() will remove a request; nothing if the queue is empty.
    std::optional<core::TimePoint> nextDeadline() const;

    // Expected time until one more request of this class would get a slot.
    core::Duration expectedWait(std::uint64_t serviceKey, std::uint64_t classKey, double slots) const;

    std::size_t size() const { return this->waiting.size(); }

private:
    using Position = std::pair<core::TimePoint, core::RequestId>;

    struct CallerQueue {
        std::set<Position> requests; // by arrival
        double start = 0; // virtual start time, seconds of slot time
    };

    struct ClassQueue {
        std::uint64_t serviceKey = 0;
        double start = 0; // virtual start time within the service, seconds of slot time
        double callerClock = 0; // virtual start time of the caller served last
        double work = 0; // total expected slot time of the queued requests, seconds
        core::TimePoint standingSince {}; // when the first request was queued after the queue was last empty
        core::Duration slotTime {}; // of the request queued last
        std::map<core::CallerAddress, CallerQueue> callers; // only callers with requests
        std::set<std::pair<double, core::CallerAddress>> callerOrder; // by virtual start time
    };

    std::vector<std::uint64_t> classOrder() const;
    std::vector<core::RequestId> candidates(std::uint64_t classKey, core::TimePoint now) const;
    bool isStanding(const ClassQueue&, core::TimePoint now) const;
    void charge(core::RequestId);
    void insert(const WaitingRequest&, core::TimePoint now);
    void erase(core::RequestId, core::TimePoint now);
    std::optional<core::RequestId> chooseEvicted(const WaitingRequest&, core::TimePoint now) const;

    Options options;
    std::unordered_map<core::RequestId, WaitingRequest> waiting;
    std::map<std::uint64_t, ClassQueue> classes;
    std::map<std::uint64_t, double> serviceClocks; // by serviceKey: virtual start time of the class served last
    std::set<Position> latestStarts; // by deadline minus expected slot time
};

}
