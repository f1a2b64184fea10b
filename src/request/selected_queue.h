#pragma once

#include "request/deadline_queue.h"

#include <variant>

namespace cranberryshed::request {

// The queueing discipline for requests that wait for a slot.
enum class QueueKind : std::uint8_t {
    Fair, // classes and callers share slot time equally; new requests queue behind waiting ones
    Deadline, // only requests that already missed their target latency wait, for idle slots
};

// The queue that the options select, without virtual dispatch.
class SelectedQueue {
public:
    struct Options {
        QueueKind kind = QueueKind::Fair;
        FairQueue::Options fair {};
        DeadlineQueue::Options byDeadline {};
    };

    explicit SelectedQueue(const Options& options)
        : queue(options.kind == QueueKind::Fair ? Queues(FairQueue(options.fair)) : Queues(DeadlineQueue(options.byDeadline)))
    {
    }

    // Whether a new request must be queued even if a slot is free, because others already wait.
    bool arrivalsMustWait() const { return std::holds_alternative<FairQueue>(this->queue) && this->size() > 0; }

    OfferResult offer(const WaitingRequest& request, double slots, core::TimePoint now)
    {
        return std::visit([&](auto& selected) { return selected.offer(request, slots, now); }, this->queue);
    }

    template <typename TryStart>
    std::optional<core::RequestId> next(core::TimePoint now, TryStart&& tryStart)
    {
        return std::visit([&](auto& selected) { return selected.next(now, tryStart); }, this->queue);
    }

    bool remove(core::RequestId request, core::TimePoint now)
    {
        return std::visit([&](auto& selected) { return selected.remove(request, now); }, this->queue);
    }

    std::vector<core::RequestId> expire(core::TimePoint now)
    {
        return std::visit([&](auto& selected) { return selected.expire(now); }, this->queue);
    }

    std::size_t size() const
    {
        return std::visit([](const auto& selected) { return selected.size(); }, this->queue);
    }

private:
    using Queues = std::variant<FairQueue, DeadlineQueue>;

    Queues queue;
};

}

template <>
struct cranberryshed::core::Names<cranberryshed::request::QueueKind> {
    static constexpr std::array<std::string_view, 2> values = { "fair", "deadline" };
};
