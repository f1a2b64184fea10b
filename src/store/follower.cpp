#include "store/follower.h"

#include <algorithm>

namespace cranberryshed::store {

FollowerStep Follower::next() const
{
    if (!this->reached)
        return { .call = FollowerCall::List, .at = this->nextCall };
    return { .call = FollowerCall::Watch, .at = this->nextCall, .from = *this->reached };
}

std::vector<core::Object> Follower::listed(std::vector<core::Object> objects, std::uint64_t at, core::TimePoint now)
{
    this->succeeded(now);
    std::vector<core::Object> news;
    std::map<std::string, core::ObjectVersion> gone = this->known;
    for (core::Object& object : objects) {
        gone.erase(object.name);
        this->take(std::move(object), now, news);
    }
    for (const auto& [name, version] : gone)
        this->remove({ .kind = this->options.kind, .name = name, .version = { .revision = at, .version = 1 }, .deleted = true, .content = {} }, now, news);
    this->reached = at;
    return news;
}

std::vector<core::Object> Follower::watched(std::vector<core::Object> changes, std::uint64_t at, core::TimePoint now)
{
    this->succeeded(now);
    std::vector<core::Object> news;
    for (core::Object& object : changes) {
        if (object.deleted)
            this->remove(std::move(object), now, news);
        else
            this->take(std::move(object), now, news);
    }
    this->reached = std::max(this->reached.value_or(0), at);
    return news;
}

void Follower::historyGone(core::TimePoint now)
{
    this->reached.reset();
    this->nextCall = now;
}

void Follower::failed(core::TimePoint now, core::RandomEngine& random)
{
    const unsigned doublings = std::min(this->failures, 8U);
    ++this->failures;
    const core::Duration limit = std::min(this->options.firstRetry * (1U << doublings), this->options.longestRetry);
    std::uniform_real_distribution<double> share(0.5, 1.0);
    this->nextCall = now + core::Duration(static_cast<core::Duration::rep>(static_cast<double>(limit.count()) * share(random)));
}

void Follower::succeeded(core::TimePoint now)
{
    if (this->failures > 0 && this->options.returnHold > core::Duration::zero())
        this->holdUntil = now + this->options.returnHold;
    this->failures = 0;
    this->nextCall = now + this->options.gather;
}

void Follower::take(core::Object object, core::TimePoint, std::vector<core::Object>& news)
{
    this->held.erase(object.name);
    const auto [place, added] = this->known.try_emplace(object.name, object.version);
    if (!added && place->second >= object.version)
        return;
    place->second = object.version;
    news.push_back(std::move(object));
}

void Follower::remove(core::Object object, core::TimePoint now, std::vector<core::Object>& news)
{
    const auto found = this->known.find(object.name);
    if (found != this->known.end() && found->second > object.version)
        return;
    if (now < this->holdUntil) {
        const std::string name = object.name;
        this->held.try_emplace(name, HeldRemoval { .object = std::move(object), .until = this->holdUntil });
        return;
    }
    if (found != this->known.end())
        this->known.erase(found);
    news.push_back(std::move(object));
}

std::vector<core::Object> Follower::releaseHeld(core::TimePoint now)
{
    std::vector<core::Object> news;
    for (auto& [name, removal] : this->held) {
        if (removal.until > now)
            continue;
        this->known.erase(name);
        news.push_back(removal.object);
    }
    std::erase_if(this->held, [&](const auto& item) { return item.second.until <= now; });
    return news;
}

std::optional<core::TimePoint> Follower::nextRelease() const
{
    std::optional<core::TimePoint> first;
    for (const auto& [name, removal] : this->held)
        first = std::min(first.value_or(removal.until), removal.until);
    return first;
}

}
