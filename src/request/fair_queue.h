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

// The figures of a request on which the wait queue decides.
//
// Classes and pools are identified by hashes of names, which stay valid when the steering table changes.
struct WaitingRequest {
    core::RequestId request {};
    std::uint64_t serviceKey = 0; // hash of the service's name: classes of one pool compete for the same slots
    std::uint64_t classKey = 0; // hash of the class's name
    core::CallerAddress caller {};
    core::TimePoint arrival {};
    core::TimePoint deadline {};
    core::Duration serviceTime {}; // expected time that it holds a slot
    unsigned priority = 0; // of its class; 0 is the highest
};

// The answer to an offered request. An evicted request gave its place to the offered one and has not run;
// the caller of offer() rejects it with ErrorKind::Overloaded.
struct OfferResult {
    std::optional<core::ErrorKind> refusal; // Overloaded or DeadlineTooShort; none: the request waits
    std::optional<core::RequestId> evicted;
    std::optional<core::Duration> retryAfter {}; // with a refusal: when there may be room
};

// The requests of one traffic thread for which no slot is free.
//
// Bounded by the expected wait. The classes of a pool share slot time equally, and so do the callers of a
// class (start-time fair queueing), so a class of short work goes first unless it used more than its share.
// A caller's oldest request goes first, and its newest one once the class's queue has been standing for a
// while: then the oldest would be late in any case, and serving them first would make every request late.
class FairQueue {
public:
    struct Options {
        std::size_t maxRequests = 2000; // requests of all classes
        core::Duration maxExpectedWait = std::chrono::seconds(2); // expected wait beyond which requests are refused
        core::Duration minStandingTime = std::chrono::milliseconds(100); // a queue that lasts longer shows overload ...
        double minStandingServiceTimes = 8; // ... if it also lasts longer than this many service times
        std::size_t maxTriesPerClass = 3; // requests of a class that next() tries
    };

    explicit FairQueue(Options queueOptions)
        : options(queueOptions)
    {
    }

    // Takes the request in, or says why not. `slots` is the number of slots that the request's class gets from
    // this queue, at least 1. While requests wait, all slots within reach are taken, so this thread's requests
    // in flight in the class's lane are a fair estimate.
    OfferResult offer(const WaitingRequest&, double slots, core::TimePoint now);

    // Calls `tryStart(const WaitingRequest&)` for the candidates in their order until one returns true, which
    // leaves the queue and is returned. Returns nothing if none could start.
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

    // Takes a request out, for example because its caller has gone. Returns false if it does not wait here.
    bool remove(core::RequestId, core::TimePoint now);

    // Takes out and returns the requests that can no longer be finished within their deadline, earliest first.
    std::vector<core::RequestId> expire(core::TimePoint now);

    // When expire() has something to do next; nothing if the queue is empty.
    std::optional<core::TimePoint> nextDeadline() const;

    // Expected time until a slot is free for one more request of this class.
    core::Duration expectedWait(std::uint64_t serviceKey, std::uint64_t classKey, double slots) const;

    std::size_t size() const { return this->waiting.size(); }

private:
    using Position = std::pair<core::TimePoint, core::RequestId>;

    struct CallerQueue {
        std::set<Position> requests; // by arrival
        double start = 0; // virtual time, seconds of slot time
    };

    struct ClassQueue {
        std::uint64_t serviceKey = 0;
        double start = 0; // virtual time in the pool, seconds of slot time
        double callerClock = 0; // virtual time of the caller served last
        double work = 0; // seconds of slot time that wait here
        core::TimePoint standingSince {}; // when the queue was last empty
        core::Duration serviceTime {}; // of the request offered last
        std::map<core::CallerAddress, CallerQueue> callers; // only callers with requests
        std::set<std::pair<double, core::CallerAddress>> callerOrder; // by virtual time
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
    std::map<std::uint64_t, double> serviceClocks; // virtual time of the class served last
    std::set<Position> latestStarts; // deadline less service time
};

}
