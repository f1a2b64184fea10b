#pragma once

#include "core/object.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryshed::store {

// The largest content of one object: what the store accepts for a value, less room for the object's other fields.
constexpr std::size_t maxContentBytes = 1024 * 1024 - 4096;

// Identifies one write. The writer's id alone is not enough: an earlier write of the same process may be
// what the store holds.
struct WriteId {
    std::string writer;
    std::string nonce;

    bool operator==(const WriteId&) const = default;
};

// An object with the mark of the write that made it.
struct StoredObject {
    core::Object object;
    WriteId writeId;
};

// Objects of one kind or changes of all kinds, with the store's version that they reflect.
struct ObjectBatch {
    std::uint64_t version = 0;
    std::vector<StoredObject> objects;
};

// The objects without their marks.
inline std::vector<core::Object> withoutWriteIds(ObjectBatch batch)
{
    std::vector<core::Object> objects;
    objects.reserve(batch.objects.size());
    for (StoredObject& stored : batch.objects)
        objects.push_back(std::move(stored.object));
    return objects;
}

// The end of a conditional write: the object as it is now in the store, and whether this writer put it there.
struct WriteResult {
    bool written = false;
    StoredObject current; // on a conflict with an absent object: the object's version is 0
};

}
