#include "lookup/rank.h"

#include "core/hash.h"

#include <algorithm>
#include <map>
#include <span>

namespace cranberryshed::core {

namespace {

    // Two multiplication rounds of the MurmurHash3 finalizer: cheap enough to run for each candidate of each look-up.
    // The inputs are hashes already, so the finalizer's first and last shifts are omitted.
    std::uint64_t mix(std::uint64_t value)
    {
        value *= 0xff51afd7ed558ccdULL;
        return (value ^ (value >> 32U)) * 0xc4ceb9fe1a85ec53ULL;
    }

    // Collects the result: two members in order, then one in a different failure domain than the first.
    class Selection {
    public:
        bool isFull() const { return this->ranked.count == RankedMembers::maxCount; }

        void offer(const SiteRanks::Candidate& candidate, bool anyDomain)
        {
            const core::MemberIndex member { candidate.member };
            const auto end = this->ranked.members.begin() + this->ranked.count;
            if (this->isFull() || std::find(this->ranked.members.begin(), end, member) != end)
                return;
            if (this->ranked.count == 0)
                this->firstDomain = candidate.domain;
            const bool isLast = this->ranked.count + 1 == RankedMembers::maxCount;
            if (isLast && !anyDomain && !this->hasOtherDomain && candidate.domain == this->firstDomain)
                return;
            this->hasOtherDomain |= candidate.domain != this->firstDomain;
            this->ranked.members[this->ranked.count++] = member;
        }

        const RankedMembers& result() const { return this->ranked; }

    private:
        RankedMembers ranked;
        std::uint8_t firstDomain = 0;
        bool hasOtherDomain = false;
    };

    // Offers the candidates tier by tier, each tier in the caller's rendezvous order. All scores of a tier are computed
    // first, without branches: a branch per candidate would be mispredicted and cost more than the hash.
    void offerTiers(std::span<const SiteRanks::Candidate> candidates, std::uint64_t callerHash, bool acceptAll, bool anyDomain, Selection& selection)
    {
        std::array<std::uint64_t, SiteRanks::maxCandidates> scores;
        // A tier is one failure domain, and the last member must come from another failure domain than the first.
        const std::size_t picks = anyDomain ? RankedMembers::maxCount : RankedMembers::maxCount - 1;
        std::size_t first = 0;
        while (first < candidates.size() && !selection.isFull()) {
            std::size_t end = first;
            for (; end < candidates.size() && candidates[end].tier == candidates[first].tier; ++end) {
                const std::uint64_t score = mix(candidates[end].nameHash ^ callerHash);
                const bool accepted = acceptAll | (static_cast<std::uint16_t>(score) <= candidates[end].callerShare);
                scores[end] = accepted ? score : 0;
            }
            for (std::size_t count = 0; count < picks && !selection.isFull(); ++count) {
                std::size_t best = first;
                std::uint64_t bestScore = 0;
                for (std::size_t i = first; i < end; ++i) {
                    best = scores[i] > bestScore ? i : best;
                    bestScore = std::max(bestScore, scores[i]);
                }
                if (bestScore == 0)
                    break;
                scores[best] = 0;
                selection.offer(candidates[best], anyDomain);
            }
            first = end;
        }
    }

}

RankedMembers SiteRanks::rank(std::uint8_t site, CallerAddress caller) const
{
    if (this->sites.empty())
        return {};
    const std::span<const Candidate> candidates = this->sites[std::min<std::size_t>(site, this->sites.size() - 1)];
    const std::uint64_t callerHash = mix(static_cast<std::uint32_t>(caller) + 0x9e3779b97f4a7c15ULL);
    Selection selection;
    offerTiers(candidates, callerHash, false, false, selection);
    // Too few members accept this caller, or all members are in one failure domain.
    if (!selection.isFull())
        offerTiers(candidates, callerHash, true, false, selection);
    if (!selection.isFull())
        offerTiers(candidates, callerHash, true, true, selection);
    return selection.result();
}

}

namespace cranberryshed::lookup {

namespace {

    // Callers use a reply for up to 6 s, so the full effect of a change is visible only after that.
    constexpr core::Duration changeInterval = std::chrono::seconds(6);
    constexpr double maxChange = 0.05; // of a share in one interval
    constexpr double gain = 0.25; // change of the share per unit of excess load; below 1 so that the share converges
    constexpr double deadBand = 0.05; // absolute excess load up to which a share is not changed
    constexpr double fullLoad = 0.85; // above this load a member's share falls, which moves callers to the next tier
    constexpr double minShare = 0.1; // leaves each member some callers, so that its load stays observable

    // In two years, a site's nearest failure domain is expected to have about 35 members, which all share the site's
    // callers. The other tiers are fallbacks, where each further candidate only costs look-up time.
    constexpr std::size_t maxNearestTierCandidates = 40;
    constexpr std::size_t maxOtherTierCandidates = 8;

    bool isServing(const core::MemberEntry& member)
    {
        return member.state == core::MemberState::Alive || member.state == core::MemberState::Suspect;
    }

    // Returns the one-way delay between two failure domains, or one hour if their regions have no declared link, which
    // puts them last.
    core::Duration delayBetween(const core::Declarations& declarations, const core::SteeringTable& table, std::uint32_t from, std::uint32_t to)
    {
        if (from == to)
            return core::Duration(0);
        const core::RegionIndex fromRegion = table.domains[from].region;
        const core::RegionIndex toRegion = table.domains[to].region;
        if (fromRegion == toRegion)
            return declarations.domains[from].oneWayDelay;
        for (const core::LinkDeclaration& link : declarations.regions[fromRegion.value].links) {
            if (link.toRegion == table.at(toRegion).name)
                return link.oneWayDelay;
        }
        return std::chrono::hours(1);
    }

    // Returns all failure domains: the given ones first, then the others by their delay from the first one.
    std::vector<std::uint32_t> domainsByDistance(const core::SteeringTable& table, const core::Declarations& declarations, const std::vector<std::string>& nearest)
    {
        std::vector<std::uint32_t> order;
        for (const std::string& name : nearest) {
            const auto found = std::ranges::find(table.domains, name, &core::DomainEntry::name);
            if (found != table.domains.end())
                order.push_back(static_cast<std::uint32_t>(found - table.domains.begin()));
        }
        const std::size_t given = order.size();
        for (std::uint32_t i = 0; i < table.domains.size(); ++i) {
            if (std::ranges::find(order, i) == order.end())
                order.push_back(i);
        }
        if (order.empty())
            return order;
        const std::uint32_t origin = order.front();
        std::stable_sort(order.begin() + static_cast<std::ptrdiff_t>(given), order.end(), [&](std::uint32_t a, std::uint32_t b) {
            return delayBetween(declarations, table, origin, a) < delayBetween(declarations, table, origin, b);
        });
        return order;
    }

    std::vector<std::vector<core::SiteRanks::Candidate>> candidatesByDomain(const core::SteeringTable& table, const std::vector<double>& shares)
    {
        std::vector<std::vector<core::SiteRanks::Candidate>> byDomain(table.domains.size());
        for (std::uint32_t i = 0; i < table.members.size(); ++i) {
            const core::MemberEntry& member = table.members[i];
            if (!isServing(member))
                continue;
            // A suspect member gets no callers while any alive one is available.
            const double share = member.state == core::MemberState::Suspect ? 0 : shares[i];
            byDomain[member.domain.value].push_back({ .nameHash = core::hashBytes(member.name), .member = static_cast<std::uint16_t>(i), .callerShare = static_cast<std::uint16_t>(share * UINT16_MAX), .tier = 0, .domain = static_cast<std::uint8_t>(member.domain.value) });
        }
        return byDomain;
    }

    std::vector<core::SiteRanks::Candidate> candidatesOfSite(const std::vector<std::uint32_t>& order, const std::vector<std::vector<core::SiteRanks::Candidate>>& byDomain, std::uint64_t siteKey)
    {
        std::vector<core::SiteRanks::Candidate> list;
        for (std::size_t tier = 0; tier < order.size() && list.size() + maxOtherTierCandidates <= core::SiteRanks::maxCandidates; ++tier) {
            std::vector<core::SiteRanks::Candidate> candidates = byDomain[order[tier]];
            const std::size_t limit = list.empty() ? maxNearestTierCandidates : maxOtherTierCandidates;
            if (candidates.size() > limit) {
                std::ranges::sort(candidates, std::greater<>(), [&](const core::SiteRanks::Candidate& candidate) { return core::hashCombine(siteKey, candidate.nameHash); });
                candidates.resize(limit);
            }
            for (core::SiteRanks::Candidate& candidate : candidates) {
                candidate.tier = static_cast<std::uint8_t>(tier);
                list.push_back(candidate);
            }
        }
        return list;
    }

}

std::vector<double> MemberShareController::update(const std::vector<core::MemberEntry>& members, core::TimePoint now)
{
    std::map<core::RegionIndex, std::pair<double, std::size_t>> sums;
    for (const core::MemberEntry& member : members) {
        if (!isServing(member))
            continue;
        auto& [load, count] = sums[member.region];
        load += member.load;
        ++count;
    }
    const bool due = now >= this->nextChange;
    if (due)
        this->nextChange = now + changeInterval;
    std::unordered_map<std::string, double> kept;
    std::vector<double> result;
    for (const core::MemberEntry& member : members) {
        const auto found = this->shares.find(member.name);
        double share = found == this->shares.end() ? 1 : found->second;
        if (due && isServing(member)) {
            const auto& [load, count] = sums[member.region];
            const double mean = load / static_cast<double>(count);
            const double excess = std::max(member.load - mean, member.load - fullLoad);
            if (std::abs(excess) > deadBand)
                share -= std::clamp(gain * excess, -maxChange, maxChange);
            share = std::clamp(share, minShare, 1.0);
        }
        kept.emplace(member.name, share);
        result.push_back(share);
    }
    this->shares = std::move(kept);
    return result;
}

std::shared_ptr<const core::SiteRanks> makeSiteRanks(const core::SteeringTable& table, const core::Declarations& declarations, const std::vector<double>& shares)
{
    const auto byDomain = candidatesByDomain(table, shares);
    std::vector<std::vector<core::SiteRanks::Candidate>> lists;
    lists.reserve(declarations.sites.size() + 1);
    for (const core::SiteDeclaration& site : declarations.sites)
        lists.push_back(candidatesOfSite(domainsByDistance(table, declarations, site.nearestDomains), byDomain, core::hashBytes(site.name)));
    std::vector<std::string> ownDomain;
    if (table.self.value < table.members.size())
        ownDomain.push_back(table.at(table.at(table.self).domain).name);
    lists.push_back(candidatesOfSite(domainsByDistance(table, declarations, ownDomain), byDomain, 0));
    return std::make_shared<const core::SiteRanks>(std::move(lists));
}

}
