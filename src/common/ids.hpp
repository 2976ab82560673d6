// Ids, each kind a type of its own, so that none can be passed for another.
#pragma once

#include <compare>
#include <cstdint>

namespace knotvane {

template <class Kind, class Rep>
struct Id {
    Rep value{};
    constexpr Id() = default;
    constexpr explicit Id(Rep v) : value(v) {}
    auto operator<=>(const Id &) const = default;
};

using RequestId = Id<struct RequestKind, std::uint64_t>;
using KeyId = Id<struct KeyKind, std::uint64_t>;
using VolumeId = Id<struct VolumeKind, std::uint64_t>;
using NodeId = Id<struct NodeKind, std::uint64_t>;
using ShardId = Id<struct ShardKind, std::int32_t>;
using ZoneId = Id<struct ZoneKind, std::uint32_t>;
using WorkloadId = Id<struct WorkloadKind, std::uint32_t>;
using PlanId = Id<struct PlanKind, std::uint32_t>;
using PeerId = Id<struct PeerKind, std::uint32_t>;
using AttemptId = Id<struct AttemptKind, std::uint32_t>;
using TimerId = Id<struct TimerKind, std::uint32_t>;

// The shard of an object that no node holds yet.
inline constexpr ShardId no_shard{-1};
// The key of a task that has none.
inline constexpr KeyId no_key{0};

} // namespace knotvane
