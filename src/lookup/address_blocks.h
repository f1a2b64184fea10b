#pragma once

#include "core/declarations.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace cranberryshed::core {

// A block of caller addresses and the index of its site among the declared sites.
struct AddressBlock {
    std::uint32_t firstAddress = 0; // IPv4, host byte order; bits beyond the prefix are ignored
    std::uint8_t prefixLength = 0; // 0 to 32
    std::uint8_t site = 0;
};

// Maps a caller's address to the index of its site. Blocks can be nested; the longest matching prefix wins.
//
// The blocks are flattened to disjoint ranges: a sorted array of range starts and one byte for each range's site.
// An index over the upper address bits, sized for about eight ranges per bucket, limits the binary search to one or
// two cache lines. A table never changes once it is built; a new steering table can point to a new one.
class AddressBlockTable {
public:
    static constexpr std::uint8_t unknownSite = 255;
    static constexpr std::size_t maxSites = 255;

    AddressBlockTable() = default;

    // Of two blocks with the same prefix, the later one wins. Throws Error(BadDeclaration) for a prefix longer than
    // 32 bits.
    explicit AddressBlockTable(std::vector<AddressBlock>);

    // Returns the index of the caller's site, or unknownSite if no block contains the address.
    std::uint8_t siteOf(CallerAddress) const;
    std::size_t rangeCount() const { return this->starts.size(); }
    std::size_t memoryBytes() const; // memory that the table uses

private:
    void append(std::uint64_t start, std::uint8_t site);
    void buildIndex();

    std::vector<std::uint32_t> starts; // first address of each range, ascending; starts[0] is 0
    std::vector<std::uint8_t> sites; // site of each range
    std::vector<std::uint32_t> buckets; // by upper address bits: the first range that starts in or after the bucket
    unsigned bucketShift = 31; // number of lower address bits that the index ignores
};

// Builds the table from the declarations. Throws Error(BadDeclaration) for an undeclared site, for more than
// 255 sites, and for a prefix longer than 32 bits.
std::shared_ptr<const AddressBlockTable> makeAddressBlockTable(const Declarations&);

}
