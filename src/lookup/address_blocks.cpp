#include "lookup/address_blocks.h"

#include "core/errors.h"

#include <algorithm>
#include <bit>
#include <string_view>
#include <unordered_map>

namespace cranberryshed::core {

namespace {

    constexpr std::size_t rangesPerBucket = 8;
    constexpr unsigned maxBucketBits = 20; // an index of 4 MB

    // A block that contains the address that the sweep has reached.
    struct OpenBlock {
        std::uint64_t end; // first address after the block
        std::uint8_t site;
    };

    std::uint32_t maskOf(std::uint8_t prefixLength)
    {
        return prefixLength == 0 ? 0 : ~std::uint32_t { 0 } << (32U - prefixLength);
    }

    bool before(const AddressBlock& a, const AddressBlock& b)
    {
        return a.firstAddress != b.firstAddress ? a.firstAddress < b.firstAddress : a.prefixLength < b.prefixLength;
    }

    void normalise(std::vector<AddressBlock>& blocks)
    {
        for (AddressBlock& block : blocks) {
            if (block.prefixLength > 32)
                throw Error(ErrorKind::BadDeclaration, "a block of caller addresses has a prefix longer than 32 bits");
            block.firstAddress &= maskOf(block.prefixLength);
        }
        if (!std::ranges::is_sorted(blocks, before))
            std::ranges::stable_sort(blocks, before);
    }

}

AddressBlockTable::AddressBlockTable(std::vector<AddressBlock> blocks)
{
    normalise(blocks);
    this->append(0, unknownSite);
    // Sweeps the addresses in ascending order. At the end of an inner block the enclosing block applies again.
    std::vector<OpenBlock> open;
    const auto closeBefore = [&](std::uint64_t address) {
        while (!open.empty() && open.back().end <= address) {
            const std::uint64_t end = open.back().end;
            open.pop_back();
            this->append(end, open.empty() ? unknownSite : open.back().site);
        }
    };
    for (const AddressBlock& block : blocks) {
        closeBefore(block.firstAddress);
        this->append(block.firstAddress, block.site);
        open.push_back({ .end = std::uint64_t { block.firstAddress } + (std::uint64_t { 1 } << (32U - block.prefixLength)), .site = block.site });
    }
    closeBefore(std::uint64_t { 1 } << 32U);
    this->starts.shrink_to_fit();
    this->sites.shrink_to_fit();
    this->buildIndex();
}

void AddressBlockTable::append(std::uint64_t start, std::uint8_t site)
{
    if (start > UINT32_MAX)
        return;
    if (!this->starts.empty() && this->starts.back() == start) {
        this->starts.pop_back();
        this->sites.pop_back();
    }
    if (!this->sites.empty() && this->sites.back() == site)
        return;
    this->starts.push_back(static_cast<std::uint32_t>(start));
    this->sites.push_back(site);
}

void AddressBlockTable::buildIndex()
{
    const unsigned bits = std::clamp(static_cast<unsigned>(std::bit_width(this->starts.size() / rangesPerBucket)), 1U, maxBucketBits);
    const std::size_t bucketCount = std::size_t { 1 } << bits;
    this->bucketShift = 32 - bits;
    this->buckets.resize(bucketCount + 1);
    std::size_t range = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        while (range < this->starts.size() && this->starts[range] < (bucket << this->bucketShift))
            ++range;
        this->buckets[bucket] = static_cast<std::uint32_t>(range);
    }
    this->buckets[bucketCount] = static_cast<std::uint32_t>(this->starts.size());
}

std::uint8_t AddressBlockTable::siteOf(CallerAddress caller) const
{
    if (this->starts.empty())
        return unknownSite;
    const auto address = static_cast<std::uint32_t>(caller);
    const std::size_t bucket = address >> this->bucketShift;
    const auto first = this->starts.begin() + this->buckets[bucket];
    const auto last = this->starts.begin() + this->buckets[bucket + 1];
    const auto after = std::upper_bound(first, last, address);
    return this->sites[static_cast<std::size_t>(after - this->starts.begin()) - 1];
}

std::size_t AddressBlockTable::memoryBytes() const
{
    return this->starts.capacity() * sizeof(std::uint32_t) + this->sites.capacity() + this->buckets.capacity() * sizeof(std::uint32_t);
}

std::shared_ptr<const AddressBlockTable> makeAddressBlockTable(const Declarations& declarations)
{
    if (declarations.sites.size() > AddressBlockTable::maxSites)
        throw Error(ErrorKind::BadDeclaration, "more than 255 sites are declared");
    std::unordered_map<std::string_view, std::uint8_t> siteIndexes;
    for (std::size_t i = 0; i < declarations.sites.size(); ++i)
        siteIndexes.emplace(declarations.sites[i].name, static_cast<std::uint8_t>(i));
    std::vector<AddressBlock> blocks;
    blocks.reserve(declarations.blocks.size());
    for (const AddressBlockDeclaration& block : declarations.blocks) {
        const auto found = siteIndexes.find(block.site);
        if (found == siteIndexes.end())
            throw Error(ErrorKind::BadDeclaration, "a block of caller addresses belongs to the undeclared site " + block.site);
        blocks.push_back({ .firstAddress = block.firstAddress, .prefixLength = block.prefixLength, .site = found->second });
    }
    return std::make_shared<const AddressBlockTable>(std::move(blocks));
}

}
