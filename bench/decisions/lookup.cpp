#include "decisions/bench.h"
#include "lookup/pipeline.h"

#include <algorithm>
#include <chrono>
#include <map>

namespace cranberryshed::bench {

namespace {

    constexpr std::uint32_t lookupCount = 1000000;

    struct Size {
        const char* name;
        std::uint32_t blocks;
        std::uint32_t sites;
        std::uint32_t domains;
        std::uint32_t members;
    };

    double secondsSince(std::chrono::steady_clock::time_point start)
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    }

    // Returns address blocks of /24 to /28 with gaps, in random order. Every tenth one is a /20, which can contain
    // others.
    std::vector<core::AddressBlock> makeBlocks(const Size& size, core::RandomEngine& random)
    {
        std::vector<core::AddressBlock> blocks;
        blocks.reserve(size.blocks);
        const std::uint32_t stride = UINT32_MAX / size.blocks;
        for (std::uint32_t i = 0; i < size.blocks; ++i) {
            const auto length = static_cast<std::uint8_t>(i % 10 == 0 ? 20 : 24 + random() % 5);
            blocks.push_back({ .firstAddress = i * stride & ~0xFFU, .prefixLength = length, .site = static_cast<std::uint8_t>(random() % size.sites) });
        }
        std::ranges::shuffle(blocks, random);
        return blocks;
    }

    std::shared_ptr<core::SteeringTable> makeTable(const Size& size, core::Declarations& declarations)
    {
        auto table = std::make_shared<core::SteeringTable>();
        for (std::uint32_t i = 0; i < size.domains; ++i) {
            const std::uint32_t region = i * 4 / size.domains;
            if (region == table->regions.size()) {
                declarations.regions.push_back({ .name = "region-" + std::to_string(region), .links = {} });
                table->regions.push_back({ .name = "region-" + std::to_string(region) });
            }
            declarations.domains.push_back({ .name = "domain-" + std::to_string(i), .region = table->regions.back().name, .oneWayDelay = std::chrono::milliseconds(4) });
            table->domains.push_back({ .name = "domain-" + std::to_string(i), .region = core::RegionIndex { region } });
        }
        for (std::uint32_t i = 0; i < size.sites; ++i)
            declarations.sites.push_back({ .name = "site-" + std::to_string(i), .nearestDomains = { "domain-" + std::to_string(i % size.domains) } });
        for (std::uint32_t i = 0; i < size.members; ++i)
            table->members.push_back({ .name = "vm-" + std::to_string(i), .address = {}, .region = table->domains[i % size.domains].region, .domain = core::DomainIndex { i % size.domains } });
        for (const char* name : { "stock", "order", "pattern", "archive" })
            table->classes.push_back({ .name = name, .host = {}, .methods = {}, .pathPrefix = {}, .service = {}, .servers = {}, .regionShares = {}, .maxInFlightByRegion = {} });
        return table;
    }

    // The naive version: answers each look-up with the next member in turn, regardless of the caller.
    struct RoundRobinLookup {
        std::uint32_t next = 0;
        core::MemberIndex operator()(const core::SteeringTable& table) { return core::MemberIndex { this->next++ % static_cast<std::uint32_t>(table.members.size()) }; }
    };

    // Counts the answers whose first member is in the caller's nearest failure domain, and the answers per first
    // member.
    struct MemberSpread {
        std::uint32_t nearCount = 0;
        std::map<std::uint32_t, std::uint32_t> answersByMember;

        void add(const core::SteeringTable& table, std::uint8_t site, core::MemberIndex first)
        {
            this->nearCount += site != core::AddressBlockTable::unknownSite && table.at(first).domain.value == site % table.domains.size();
            ++this->answersByMember[first.value];
        }
        double maxAnswers() const
        {
            std::uint32_t max = 0;
            for (const auto& [member, count] : this->answersByMember)
                max = std::max(max, count);
            return max;
        }
    };

    void runSize(Report& report, const Size& size, std::uint64_t seed)
    {
        core::RandomEngine random(seed);
        std::vector<core::AddressBlock> blocks = makeBlocks(size, random);
        std::vector<std::uint32_t> callers(lookupCount);
        for (std::uint32_t& caller : callers)
            caller = blocks[random() % blocks.size()].firstAddress + static_cast<std::uint32_t>(random() % 16);

        auto start = std::chrono::steady_clock::now();
        const auto blockTable = std::make_shared<const core::AddressBlockTable>(std::move(blocks));
        const double buildSeconds = secondsSince(start);

        core::Declarations declarations;
        const std::shared_ptr<core::SteeringTable> table = makeTable(size, declarations);
        start = std::chrono::steady_clock::now();
        table->siteRanks = cranberryshed::lookup::makeSiteRanks(*table, declarations, std::vector<double>(size.members, 1));
        const double ranksSeconds = secondsSince(start);
        table->addressBlocks = blockTable;

        start = std::chrono::steady_clock::now();
        std::uint64_t sum = 0;
        for (const std::uint32_t caller : callers)
            sum += blockTable->siteOf(core::CallerAddress { caller });
        const double locateNs = secondsSince(start) / lookupCount * 1e9;

        cranberryshed::lookup::LookupPipe pipe { {}, {}, {} };
        const core::SteeringTablePointer published = table;
        start = std::chrono::steady_clock::now();
        for (const std::uint32_t caller : callers) {
            auto outcome = pipe(cranberryshed::lookup::Context { .query = { .className = "pattern", .caller = core::CallerAddress { caller } }, .table = published, .reply = {} }, core::TimePoint {});
            sum += outcome.output().reply.entries[0].value;
        }
        const double decisionNs = secondsSince(start) / lookupCount * 1e9;

        start = std::chrono::steady_clock::now();
        for (const std::uint32_t caller : callers)
            sum += table->siteRanks->rank(static_cast<std::uint8_t>(caller % size.sites), core::CallerAddress { caller }).members[0].value;
        const double rankNs = secondsSince(start) / lookupCount * 1e9;

        MemberSpread ours;
        MemberSpread naive;
        RoundRobinLookup roundRobin;
        for (const std::uint32_t caller : callers) {
            const std::uint8_t site = blockTable->siteOf(core::CallerAddress { caller });
            ours.add(*table, site, table->siteRanks->rank(site, core::CallerAddress { caller }).members[0]);
            naive.add(*table, site, roundRobin(*table));
        }
        const double mean = static_cast<double>(lookupCount) / size.members;
        report.add({ .benchmark = "lookup", .name = std::string(size.name) + ", cost", .metrics = { { "locate_ns", locateNs }, { "rank_ns", rankNs }, { "decision_ns", decisionNs }, { "table_mb", static_cast<double>(blockTable->memoryBytes()) / 1e6 }, { "ranges", static_cast<double>(blockTable->rangeCount()) }, { "build_s", buildSeconds }, { "ranks_ms", ranksSeconds * 1e3 }, { "checksum", static_cast<double>(sum % 1000) } }, .target = "decision_ns <= 1000", .isMet = decisionNs <= 1000 });
        report.add({ .benchmark = "lookup", .name = std::string(size.name) + ", ours", .metrics = { { "near_share", ours.nearCount / static_cast<double>(lookupCount) }, { "most_to_mean", ours.maxAnswers() / mean } }, .target = {} });
        report.add({ .benchmark = "lookup", .name = std::string(size.name) + ", round robin", .metrics = { { "near_share", naive.nearCount / static_cast<double>(lookupCount) }, { "most_to_mean", naive.maxAnswers() / mean } }, .target = {} });
    }

}

void lookup(Report& report, std::uint64_t seed)
{
    runSize(report, { .name = "foundry", .blocks = 2000, .sites = 6, .domains = 6, .members = 9 }, seed);
    runSize(report, { .name = "schools", .blocks = 3000, .sites = 6, .domains = 6, .members = 8 }, seed);
    runSize(report, { .name = "two years", .blocks = 4800000, .sites = 120, .domains = 13, .members = 460 }, seed);
}

}
