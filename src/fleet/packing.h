#pragma once

#include "core/load_digest.h"
#include "fleet/messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cranberryshed::fleet {

// Packs a count into 16 bits: a mantissa of 11 bits and a binary exponent. Exact below 2,048; above that it is rounded
// down by less than 0.1 %; limited to 2,047 * 2^31.
std::uint16_t packCount(std::uint64_t);
std::uint64_t unpackCount(std::uint16_t);

// Maps hashes to names. Loads are sent often, so they contain 32-bit hashes instead of names.
class NameTable {
public:
    NameId add(std::string_view name); // returns the hash; a full table does not store new names
    const std::string* find(NameId) const; // null if unknown
    std::size_t size() const { return this->texts.size(); }

private:
    std::unordered_map<NameId, std::string> texts;
};

// The hash of a name.
NameId nameId(std::string_view name);

// Packs a load digest or a member's load, except for its age and number of members, and adds its names to the table.
PackedDigest packDigest(const core::DomainDigest&, NameTable&);

// Unpacks a load digest. Omits classes and capacities whose names are unknown; an unknown failure domain stays empty.
core::DomainDigest unpackDigest(const PackedDigest&, const NameTable&);

// The hashes in a load digest or a member's load whose names are unknown, each once.
std::vector<NameId> unknownNames(const PackedDigest&, const NameTable&);

// The sum of the loads of several members. Demand, rejected, in flight and busy are added; times are averaged, weighted
// by demand. Slots are the lower median, because all members see the same backend servers, and a member that has just
// started or was cut off sees too few or too many.
PackedDigest sumDigests(const std::vector<const PackedDigest*>&);

}
