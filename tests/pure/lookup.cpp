#include "lookup/pipeline.h"

#include <catch2/catch.hpp>
#include <map>

namespace core = cranberryshed::core;
namespace lookup = cranberryshed::lookup;

namespace {

// Reference implementation: tries every block. The longest prefix wins, and of equal prefixes the later block.
std::uint8_t referenceSite(const std::vector<core::AddressBlock>& blocks, std::uint32_t address)
{
    int longest = -1;
    std::uint8_t site = core::AddressBlockTable::unknownSite;
    for (const core::AddressBlock& block : blocks) {
        const std::uint32_t mask = block.prefixLength == 0 ? 0 : ~0U << (32U - block.prefixLength);
        if (((address ^ block.firstAddress) & mask) == 0 && block.prefixLength >= longest) {
            longest = block.prefixLength;
            site = block.site;
        }
    }
    return site;
}

struct Fleet {
    core::Declarations declarations;
    core::SteeringTable table;
};

Fleet makeFleet(std::uint32_t domains, std::uint32_t membersPerDomain)
{
    Fleet fleet;
    fleet.table.members.reserve(std::size_t { domains } * membersPerDomain);
    for (std::uint32_t i = 0; i < domains; ++i) {
        const std::string region = "region-" + std::to_string(i / 2);
        if (i % 2 == 0) {
            fleet.declarations.regions.push_back({ .name = region, .links = {} });
            fleet.table.regions.push_back({ .name = region });
        }
        fleet.declarations.domains.push_back({ .name = "domain-" + std::to_string(i), .region = region, .oneWayDelay = std::chrono::milliseconds(4) });
        fleet.table.domains.push_back({ .name = "domain-" + std::to_string(i), .region = core::RegionIndex { i / 2 } });
        fleet.declarations.sites.push_back({ .name = "site-" + std::to_string(i), .nearestDomains = { "domain-" + std::to_string(i) } });
        for (std::uint32_t member = 0; member < membersPerDomain; ++member) {
            fleet.table.members.push_back({ .name = "vm-" + std::to_string(i) + "-" + std::to_string(member), .address = {}, .region = core::RegionIndex { i / 2 }, .domain = core::DomainIndex { i } });
        }
    }
    return fleet;
}

std::shared_ptr<const core::SiteRanks> ranksOf(const Fleet& fleet, const std::vector<double>& shares)
{
    return lookup::makeSiteRanks(fleet.table, fleet.declarations, shares);
}

}

// Guards against an inner block that is missing from the flattened ranges, or whose range extends beyond its last
// address. Random nested and equal blocks are looked up at and around their first addresses.
TEST_CASE("the address block table agrees with a scan of nested blocks", "[lookup]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        core::RandomEngine random(seed);
        std::vector<core::AddressBlock> blocks;
        blocks.reserve(200);
        for (int i = 0; i < 200; ++i)
            blocks.push_back({ .firstAddress = static_cast<std::uint32_t>(random()) & 0xC0F0F0FFU, .prefixLength = static_cast<std::uint8_t>(random() % 33), .site = static_cast<std::uint8_t>(random() % 6) });
        const core::AddressBlockTable table(blocks);
        for (int i = 0; i < 2000; ++i) {
            const core::AddressBlock& near = blocks[random() % blocks.size()];
            const std::uint32_t address = i % 4 == 0 ? static_cast<std::uint32_t>(random()) : near.firstAddress + static_cast<std::uint32_t>(random() % 5) - 2;
            REQUIRE(table.siteOf(core::CallerAddress { address }) == referenceSite(blocks, address));
        }
    }
}

// Guards against undefined behaviour: for a prefix above 32 bits, the mask would be shifted by more than its width.
// Also guards against a block whose site is not declared.
TEST_CASE("an address block with a prefix over 32 bits or an undeclared site is rejected", "[lookup]")
{
    CHECK_THROWS_AS(core::AddressBlockTable({ { .firstAddress = 0, .prefixLength = 33, .site = 0 } }), core::Error);
    core::Declarations declarations;
    declarations.blocks.push_back({ .firstAddress = 0, .prefixLength = 8, .site = "nowhere" });
    CHECK_THROWS_AS(core::makeAddressBlockTable(declarations), core::Error);
}

// Guards against callers that are sent to a leaving or dead member, to a distant one, or only to members of one failure
// domain. Two of four members in the nearest failure domain serve, and each must be first for about half the callers.
TEST_CASE("a caller gets nearby serving members and one in another failure domain", "[lookup]")
{
    Fleet fleet = makeFleet(6, 4);
    fleet.table.members[0].state = core::MemberState::Leaving;
    fleet.table.members[1].state = core::MemberState::Dead;
    const auto ranks = ranksOf(fleet, std::vector<double>(fleet.table.members.size(), 1));
    std::map<std::uint32_t, int> firsts;
    for (std::uint32_t caller = 0; caller < 2000; ++caller) {
        const core::RankedMembers ranked = ranks->rank(0, core::CallerAddress { caller });
        REQUIRE(ranked.count == 3);
        ++firsts[ranked.members[0].value];
        CHECK(fleet.table.at(ranked.members[0]).domain.value == 0);
        CHECK(fleet.table.at(ranked.members[2]).domain.value == 1);
    }
    CHECK(firsts.size() == 2);
    for (const auto& [member, count] : firsts)
        CHECK(count > 850);
}

// Guards against callers that change their entry VM unnecessarily: a lower share or the death of one member must move
// only that member's callers. A share lowered from 1 to 0.9 must move about 10 % of them, the death all of them.
TEST_CASE("a change of one member moves only its callers", "[lookup]")
{
    Fleet fleet = makeFleet(4, 10);
    std::vector<double> shares(fleet.table.members.size(), 1);
    const auto before = ranksOf(fleet, shares);
    shares[3] = 0.9;
    const auto withLowerShare = ranksOf(fleet, shares);
    fleet.table.members[3].state = core::MemberState::Dead;
    const auto withoutMember = ranksOf(fleet, shares);
    int moved = 0;
    int owned = 0;
    for (std::uint32_t caller = 0; caller < 20000; ++caller) {
        const core::MemberIndex first = before->rank(0, core::CallerAddress { caller }).members[0];
        const core::MemberIndex later = withLowerShare->rank(0, core::CallerAddress { caller }).members[0];
        const core::MemberIndex last = withoutMember->rank(0, core::CallerAddress { caller }).members[0];
        owned += first.value == 3;
        moved += first != later;
        if (first.value == 3)
            CHECK(last.value != 3);
        else {
            CHECK(first == later);
            CHECK(first == last);
        }
    }
    CHECK(moved > owned / 20);
    CHECK(moved < owned / 5);
}

// Guards against an empty reply when every member is suspect, or when all serving members are in one failure domain:
// both must be accepted if there is nothing better.
TEST_CASE("a caller gets entry VMs as long as any member serves", "[lookup]")
{
    Fleet fleet = makeFleet(2, 2);
    for (core::MemberEntry& member : fleet.table.members)
        member.state = core::MemberState::Suspect;
    CHECK(ranksOf(fleet, { 1, 1, 1, 1 })->rank(core::AddressBlockTable::unknownSite, {}).count == 3);
    fleet.table.members[0].state = fleet.table.members[1].state = core::MemberState::Left;
    CHECK(ranksOf(fleet, { 1, 1, 1, 1 })->rank(0, {}).count == 2);
}

// Guards against shares that oscillate: the effect of a change is visible only after callers' replies expired, so
// changes that are too fast or too large overshoot.
TEST_CASE("member shares converge although their effect on the load is delayed", "[lookup]")
{
    Fleet fleet = makeFleet(2, 2);
    lookup::MemberShareController shares;
    core::TimePoint now {};
    // Member 0 has half the capacity of the others, so equal shares give it twice their load.
    const std::array<double, 4> capacity = { 0.5, 1, 1, 1 };
    std::vector<double> current(4, 1);
    double largestStep = 0;
    double lastDirection = 0;
    int reversals = 0;
    for (int second = 0; second < 600; ++second) {
        const double sum = current[0] + current[1] + current[2] + current[3];
        for (std::size_t i = 0; i < 4; ++i)
            fleet.table.members[i].load = current[i] / sum * 1.6 / capacity[i];
        now += std::chrono::seconds(1);
        const std::vector<double> next = shares.update(fleet.table.members, now);
        largestStep = std::max(largestStep, std::abs(next[0] - current[0]));
        if (const double change = next[0] - current[0]; change != 0) {
            reversals += change * lastDirection < 0;
            lastDirection = change;
        }
        current = next;
    }
    CHECK(largestStep <= 0.05 + 1e-9);
    CHECK(reversals <= 2);
    CHECK(current[0] < 0.75);
}
