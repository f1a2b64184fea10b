#pragma once

#include "core/load_digest.h"
#include "fleet/messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cranberryshed::fleet {

// A count in 16 bits: 11 bits of it and a binary exponent. Exact below 2,048; off by less than 0.1 % above,
// rounded down; limited to 2,047 * 2^31.
std::uint16_t packCount(std::uint64_t);
std::uint64_t unpackCount(std::uint16_t);

// The texts of hashed names. Loads are sent often and carry 32-bit hashes of names only.
class NameTable {
public:
    NameId add(std::string_view name);
    const std::string* find(NameId) const; // null: not known
    std::size_t size() const { return this->texts.size(); }

private:
    std::unordered_map<NameId, std::string> texts;
};

NameId nameId(std::string_view name);

// Packs a digest without its age and number of members. Learns its names.
PackedDigest packDigest(const core::DomainDigest&, NameTable&);

// Unpacks a digest. What has an unknown name is left out.
core::DomainDigest unpackDigest(const PackedDigest&, const NameTable&);

// The names in a digest that are not known.
std::vector<NameId> unknownNames(const PackedDigest&, const NameTable&);

// The sum of loads of several members. Demand, rejected, in flight and busy are added; times are averaged with the
// demand as weight; slots are the lower median, because all members see the same backend servers and a member
// that just started or was cut off sees too few or too many.
PackedDigest sumDigests(const std::vector<const PackedDigest*>&);

}
