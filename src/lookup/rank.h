#pragma once

#include "core/declarations.h"
#include "core/steering_table.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberryshed::core {

// The entry VMs for one caller, best first.
struct RankedMembers {
    static constexpr std::size_t maxCount = 3;

    std::array<MemberIndex, maxCount> members {};
    std::size_t count = 0;
};

// Per site, the entry VMs that its callers may use: a short list in tiers, nearest failure domain first.
// Built at publish, never changed.
//
// Within a tier a caller's order is the rendezvous order of its address over the members, so it stays the same
// while the members do. A member with a share below 1 is passed over by that part of the callers, always the
// same ones, so a change of its share by 0.05 moves 5 % of its callers and no others.
class SiteRanks {
public:
    // A member as a candidate of one site.
    struct Candidate {
        std::uint64_t key = 0; // hash of the name
        std::uint16_t member = 0; // MemberIndex; small, so that four candidates fill a cache line
        std::uint16_t accepted = UINT16_MAX; // share of callers that use it, of UINT16_MAX
        std::uint8_t tier = 0;
        std::uint8_t domain = 0;
    };

    static constexpr std::size_t maxCandidates = 64; // of one site

    explicit SiteRanks(std::vector<std::vector<Candidate>> candidatesBySite)
        : sites(std::move(candidatesBySite))
    {
    }

    // The first two are the best of the nearest tiers; the third is in another failure domain than the first,
    // so that a caller still has an entry VM after a failure domain failed. The last list is for callers of
    // no declared site.
    RankedMembers rank(std::uint8_t site, CallerAddress) const;

private:
    std::vector<std::vector<Candidate>> sites;
};

}

namespace cranberryshed::lookup {

// The share of callers that use each member, by load. Changes by a small step in each interval, which is at
// least the time for which callers keep an answer: faster changes would act before their effect is seen.
class MemberShareController {
public:
    // Returns the share of each member, in the order given.
    std::vector<double> update(const std::vector<core::MemberEntry>&, core::TimePoint now);

private:
    std::unordered_map<std::string, double> shares;
    core::TimePoint nextChange {};
};

// Builds the lists of all declared sites, and one for unknown callers around the table's own failure domain.
std::shared_ptr<const core::SiteRanks> makeSiteRanks(const core::SteeringTable&, const core::Declarations&, const std::vector<double>& shares);

}
