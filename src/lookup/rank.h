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

// The entry VMs that the callers of each site can use: per site a short list in tiers, nearest failure domain first.
// Built for each steering table that is published, and never changed.
//
// Within a tier, the order for a caller is the rendezvous order of its address over the members, so it stays the same
// while the members stay the same. A member with a share below 1 is skipped by the rest of the callers, always the
// same ones, so a change of its share by 0.05 moves 5 % of its callers and no others.
class SiteRanks {
public:
    // A member in the list of one site.
    struct Candidate {
        std::uint64_t nameHash = 0;
        std::uint16_t member = 0; // MemberIndex::value; 16 bits, so that four candidates fit in a cache line
        std::uint16_t callerShare = UINT16_MAX; // share of callers that use the member, as a fraction of UINT16_MAX
        std::uint8_t tier = 0;
        std::uint8_t domain = 0;
    };

    static constexpr std::size_t maxCandidates = 64; // in the list of one site

    explicit SiteRanks(std::vector<std::vector<Candidate>> candidatesBySite)
        : sites(std::move(candidatesBySite))
    {
    }

    // Returns the entry VMs for a caller. The first two are the best of the nearest tiers; the third is in a different
    // failure domain than the first, so that the caller still has an entry VM after a failure domain failed. The last
    // list is for callers of no declared site.
    RankedMembers rank(std::uint8_t site, CallerAddress) const;

private:
    std::vector<std::vector<Candidate>> sites; // candidates by site index
};

}

namespace cranberryshed::lookup {

// Adjusts the share of callers that use each member by the member's load. A share changes by a small step per interval.
// The interval is at least the time for which callers use a reply: faster changes would be made before the effect of
// the previous ones is visible.
class MemberShareController {
public:
    // Returns the share of each member, 0 to 1, in the given order.
    std::vector<double> update(const std::vector<core::MemberEntry>&, core::TimePoint now);

private:
    std::unordered_map<std::string, double> shares;
    core::TimePoint nextChange {};
};

// Builds the lists of all declared sites, and a last one for callers of no declared site, which starts at this entry
// VM's failure domain.
std::shared_ptr<const core::SiteRanks> makeSiteRanks(const core::SteeringTable&, const core::Declarations&, const std::vector<double>& shares);

}
