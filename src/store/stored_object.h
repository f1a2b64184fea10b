#pragma once

#include "core/object_order.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryshed::store {

// Bound on the content of one object: the store accepts values of 1 MB, of which 4 KB are left for the object's other
// fields.
constexpr std::size_t maxContentBytes = 1024 * 1024 - 4096;

// Identifies one write. The writer's id alone does not, since the store can hold an earlier write of the same process.
struct WriteId {
    std::string writer; // id of the process, see ClientOptions
    std::string nonce;

    bool operator==(const WriteId&) const = default;
};

// An object with the id of the write that made it.
struct StoredObject {
    core::Object object;
    WriteId writeId;
};

// The objects of one kind, or changes, as of one version of the store.
struct ObjectBatch {
    std::uint64_t era = 0; // of the store
    std::uint64_t version = 0;
    std::vector<StoredObject> objects;
};

// Where the store was when it made the batch.
inline core::StorePosition positionOf(const ObjectBatch& batch)
{
    return { .era = batch.era, .revision = batch.version };
}

// Returns the objects of the batch without their write ids.
inline std::vector<core::Object> withoutWriteIds(ObjectBatch batch)
{
    std::vector<core::Object> objects;
    objects.reserve(batch.objects.size());
    for (StoredObject& stored : batch.objects)
        objects.push_back(std::move(stored.object));
    return objects;
}

// The result of a conditional write.
struct WriteResult {
    bool written = false; // whether the write took effect
    StoredObject current; // what the store holds after the write; version 0: no object
};

}
