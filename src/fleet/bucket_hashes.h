#pragma once

#include "core/hash.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace cranberryshed::fleet {

// Hashes over a set whose entries are added and removed one at a time. Equal sets have equal hashes in whatever order
// their entries were added. The hashes per bucket show where two sets differ, without sending the whole set.
class BucketHashes {
public:
    static constexpr std::size_t bucketCount = 32;

    static std::uint16_t bucketOf(std::uint64_t id) { return static_cast<std::uint16_t>(id % bucketCount); }

    // Adds an entry that is absent, or removes one that is present.
    void toggle(std::uint64_t id, std::uint64_t entryHash)
    {
        this->hashes[bucketOf(id)] ^= entryHash;
        this->wholeSetHash ^= entryHash;
    }

    std::uint64_t setHash() const { return this->wholeSetHash; }

    // The lower 32 bits of each bucket's hash.
    std::vector<std::uint32_t> shortHashes() const
    {
        std::vector<std::uint32_t> result;
        result.reserve(bucketCount);
        for (std::uint64_t hash : this->hashes)
            result.push_back(static_cast<std::uint32_t>(hash));
        return result;
    }

    // A random bucket whose hash differs from that of another member, or nothing if all are equal.
    template <typename Random>
    std::optional<std::uint16_t> randomDifferingBucket(const std::vector<std::uint32_t>& others, Random& random) const
    {
        std::vector<std::uint16_t> candidates;
        for (std::size_t i = 0; i < bucketCount && i < others.size(); ++i) {
            if (others[i] != static_cast<std::uint32_t>(this->hashes[i]))
                candidates.push_back(static_cast<std::uint16_t>(i));
        }
        if (candidates.empty())
            return std::nullopt;
        return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random)];
    }

private:
    std::array<std::uint64_t, bucketCount> hashes {};
    std::uint64_t wholeSetHash = 0;
};

}
