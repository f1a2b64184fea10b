#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>

namespace cranberryshed::core {

using Duration = std::chrono::microseconds;

// Monotonic time of this process. Never sent to another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Unix time, for contract dates and for times shown to operators.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// The engine of every random decision. It is passed to the decision as an argument, so that a run can be repeated
// from its seed.
using RandomEngine = std::mt19937_64;

// An index into one of the vectors of a SteeringTable. Indexes into different vectors have different types.
// An index is valid only for the SteeringTable from which it was taken.
template <typename Tag>
struct Index {
    std::uint32_t value = 0;
    auto operator<=>(const Index&) const = default;
};

using ClassIndex = Index<struct ClassTag>;
using ServerIndex = Index<struct ServerTag>;
using RegionIndex = Index<struct RegionTag>;
using DomainIndex = Index<struct DomainTag>;
using MemberIndex = Index<struct MemberTag>;

// Identifiers that are unique within one process.
enum class RequestId : std::uint64_t {};
enum class AttemptId : std::uint64_t {};

// Identifies the content of a request on all entry VMs, see request/fingerprint.h. Two kinds of values have this type:
// - of the content alone (request::fingerprintOf()), in request::RequestArrived;
// - of the content and its class (request::classFingerprint()), in request::Context, request::CrashRegistry, the
//   request keys, the gossip items and the SteeringTable.
enum class Fingerprint : std::uint64_t {};

// The number of one start of an entry VM. A later start of the same VM has a higher number.
enum class Incarnation : std::uint64_t {};

// An IPv4 address in host byte order.
enum class CallerAddress : std::uint32_t {};

}

template <typename Tag>
struct std::hash<cranberryshed::core::Index<Tag>> {
    std::size_t operator()(const cranberryshed::core::Index<Tag>& index) const noexcept { return index.value; }
};
