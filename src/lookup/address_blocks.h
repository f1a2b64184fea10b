#pragma once

#include "core/declarations.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace cranberryshed::core {

// One block of caller addresses and the index of its site among the declared sites.
struct AddressBlock {
    std::uint32_t firstAddress = 0; // IPv4, host byte order; bits beyond the prefix are ignored
    std::uint8_t prefixLength = 0; // 0 to 32
    std::uint8_t site = 0;
};

// Maps a caller's address to a site. Blocks may nest; the longest prefix wins.
//
// The blocks become a sorted array of range starts with one byte for the site of each. An index over the
// upper address bits, sized for about eight ranges a bucket, leaves a search within one or two cache lines.
// A built table never changes; a new one replaces it by a pointer in the steering table.
class AddressBlockTable {
public:
    static constexpr std::uint8_t unknownSite = 255;
    static constexpr std::size_t maxSites = 255;

    AddressBlockTable() = default;

    // If a block is given twice, the later one wins. Throws Error(BadDeclaration) for a prefix longer than 32.
    explicit AddressBlockTable(std::vector<AddressBlock>);

    std::uint8_t siteOf(CallerAddress) const;
    std::size_t rangeCount() const { return this->starts.size(); }
    std::size_t memoryBytes() const; // memory in use

private:
    void append(std::uint64_t start, std::uint8_t site);
    void buildIndex();

    std::vector<std::uint32_t> starts; // of each range, ascending; the first is 0
    std::vector<std::uint8_t> sites; // of each range
    std::vector<std::uint32_t> buckets; // by upper address bits: the first range that starts at or after them
    unsigned bucketShift = 31; // lower address bits that the index leaves out
};

// Builds the table from typed declarations. Throws Error(BadDeclaration) for an undeclared site, for more than
// 255 sites, and for a prefix longer than 32.
std::shared_ptr<const AddressBlockTable> makeAddressBlockTable(const Declarations&);

}
