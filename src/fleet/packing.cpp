#include "fleet/packing.h"

#include "core/hash.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <map>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;

namespace {

    constexpr int mantissaBits = 11;
    constexpr std::uint64_t mantissaRange = 1U << mantissaBits;
    constexpr int maxExponent = 31;
    constexpr double rateUnitsPerRequest = 10; // rates are packed in tenths of a request per second
    constexpr core::Duration timeUnit = 10us;
    constexpr std::size_t maxNames = 4096; // bounds the memory for names that other members send

    std::uint16_t packRate(double rate) { return packCount(static_cast<std::uint64_t>(std::lround(std::max(rate, 0.0) * rateUnitsPerRequest))); }
    double unpackRate(std::uint16_t packed) { return static_cast<double>(unpackCount(packed)) / rateUnitsPerRequest; }
    std::uint16_t packTime(core::Duration time) { return packCount(static_cast<std::uint64_t>(std::max<std::int64_t>(time / timeUnit, 0))); }
    core::Duration unpackTime(std::uint16_t packed) { return unpackCount(packed) * timeUnit; }

    struct ClassSum {
        std::uint64_t demand = 0;
        std::uint64_t rejected = 0;
        std::uint64_t inFlight = 0;
        double weight = 0;
        double meanTime = 0; // sum, weighted by demand
        double tailLatency = 0; // sum, weighted by demand
    };

    struct CapacitySum {
        std::vector<std::uint64_t> slots;
        std::uint64_t busy = 0;
    };

    std::uint64_t weightedMean(double sum, double weight)
    {
        return weight > 0 ? static_cast<std::uint64_t>(std::llround(sum / weight)) : 0;
    }

}

std::uint16_t packCount(std::uint64_t count)
{
    const int exponent = std::max(static_cast<int>(std::bit_width(count)) - mantissaBits, 0);
    if (exponent > maxExponent)
        return 0xffff;
    return static_cast<std::uint16_t>((exponent << mantissaBits) | static_cast<int>(count >> exponent));
}

std::uint64_t unpackCount(std::uint16_t packed)
{
    return (packed % mantissaRange) << (packed >> mantissaBits);
}

NameId nameId(std::string_view name)
{
    return NameId { static_cast<std::uint32_t>(core::hashBytes(name)) };
}

NameId NameTable::add(std::string_view name)
{
    const NameId id = nameId(name);
    if (this->texts.size() < maxNames)
        this->texts.try_emplace(id, name);
    return id;
}

const std::string* NameTable::find(NameId id) const
{
    auto found = this->texts.find(id);
    return found == this->texts.end() ? nullptr : &found->second;
}

PackedDigest packDigest(const core::DomainDigest& digest, NameTable& names)
{
    PackedDigest packed { .domain = names.add(digest.domain) };
    for (const core::ClassLoad& load : digest.classes) {
        packed.classes.push_back({ .name = names.add(load.className),
            .demand = packRate(load.demand),
            .rejected = packRate(load.rejected),
            .inFlight = packCount(load.inFlight),
            .meanTime = packTime(load.meanTime),
            .tailLatency = packTime(load.tailLatency) });
    }
    for (const core::ServiceCapacity& capacity : digest.capacities) {
        packed.capacities.push_back({ .service = names.add(capacity.service),
            .region = names.add(capacity.region),
            .slots = packCount(capacity.slots),
            .busy = packCount(capacity.busy) });
    }
    return packed;
}

core::DomainDigest unpackDigest(const PackedDigest& packed, const NameTable& names)
{
    core::DomainDigest digest;
    if (const std::string* domain = names.find(packed.domain))
        digest.domain = *domain;
    digest.members = packed.members;
    for (const PackedClass& load : packed.classes) {
        if (const std::string* name = names.find(load.name))
            digest.classes.push_back({ .className = *name,
                .demand = unpackRate(load.demand),
                .rejected = unpackRate(load.rejected),
                .inFlight = static_cast<std::uint32_t>(unpackCount(load.inFlight)),
                .meanTime = unpackTime(load.meanTime),
                .tailLatency = unpackTime(load.tailLatency) });
    }
    for (const PackedCapacity& capacity : packed.capacities) {
        const std::string* service = names.find(capacity.service);
        const std::string* region = names.find(capacity.region);
        if (service && region)
            digest.capacities.push_back({ .service = *service,
                .region = *region,
                .slots = static_cast<std::uint32_t>(unpackCount(capacity.slots)),
                .busy = static_cast<std::uint32_t>(unpackCount(capacity.busy)) });
    }
    return digest;
}

std::vector<NameId> unknownNames(const PackedDigest& packed, const NameTable& names)
{
    std::vector<NameId> unknown;
    auto check = [&](NameId id) {
        if (!names.find(id) && std::find(unknown.begin(), unknown.end(), id) == unknown.end())
            unknown.push_back(id);
    };
    check(packed.domain);
    for (const PackedClass& load : packed.classes)
        check(load.name);
    for (const PackedCapacity& capacity : packed.capacities) {
        check(capacity.service);
        check(capacity.region);
    }
    return unknown;
}

PackedDigest sumDigests(const std::vector<const PackedDigest*>& loads)
{
    std::map<NameId, ClassSum> classes;
    std::map<std::pair<NameId, NameId>, CapacitySum> capacities;
    for (const PackedDigest* load : loads) {
        for (const PackedClass& part : load->classes) {
            ClassSum& sum = classes[part.name];
            const auto demand = unpackCount(part.demand);
            sum.demand += demand;
            sum.rejected += unpackCount(part.rejected);
            sum.inFlight += unpackCount(part.inFlight);
            sum.weight += static_cast<double>(demand);
            sum.meanTime += static_cast<double>(demand * unpackCount(part.meanTime));
            sum.tailLatency += static_cast<double>(demand * unpackCount(part.tailLatency));
        }
        for (const PackedCapacity& part : load->capacities) {
            CapacitySum& sum = capacities[{ part.service, part.region }];
            sum.slots.push_back(unpackCount(part.slots));
            sum.busy += unpackCount(part.busy);
        }
    }
    PackedDigest result { .members = static_cast<std::uint16_t>(std::min<std::size_t>(loads.size(), UINT16_MAX)) };
    for (const auto& [name, sum] : classes) {
        result.classes.push_back({ .name = name,
            .demand = packCount(sum.demand),
            .rejected = packCount(sum.rejected),
            .inFlight = packCount(sum.inFlight),
            .meanTime = packCount(weightedMean(sum.meanTime, sum.weight)),
            .tailLatency = packCount(weightedMean(sum.tailLatency, sum.weight)) });
    }
    for (auto& [name, sum] : capacities) {
        const auto middle = sum.slots.begin() + static_cast<std::ptrdiff_t>((sum.slots.size() - 1) / 2);
        std::nth_element(sum.slots.begin(), middle, sum.slots.end());
        result.capacities.push_back({ .service = name.first, .region = name.second, .slots = packCount(*middle), .busy = packCount(sum.busy) });
    }
    return result;
}

}
