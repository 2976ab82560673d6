/// \file
/// Ids, each kind a type of its own, so that none can be passed for another.
#pragma once

#include <compare>
#include <cstdint>

namespace knotvane {

/// An id of one kind.
/// @tparam Kind a tag; it need not be complete.
/// @tparam Representation the integer that the id is stored as.
template <class Kind, class Representation>
struct Id {
    Representation value{};

    constexpr Id() = default;
    constexpr explicit Id(Representation initial) : value(initial) {}

    auto operator<=>(const Id &) const = default;
};

/// A client's request, as its scheduler numbers it.
using RequestId = Id<struct RequestKind, std::uint64_t>;
/// What requests of an ordered workload are ordered by.
using KeyId = Id<struct KeyKind, std::uint64_t>;
using VolumeId = Id<struct VolumeKind, std::uint64_t>;
using NodeId = Id<struct NodeKind, std::uint64_t>;
/// The part of a volume's data that one node at a time holds.
using ShardId = Id<struct ShardKind, std::int32_t>;
using ZoneId = Id<struct ZoneKind, std::uint32_t>;
/// A class of requests.
using WorkloadId = Id<struct WorkloadKind, std::uint32_t>;
/// What a tenant has booked.
using PlanId = Id<struct PlanKind, std::uint32_t>;
/// A scheduler among those that share the nodes.
using SchedulerId = Id<struct SchedulerKind, std::uint32_t>;
/// An attempt of one request, from 0.
using AttemptId = Id<struct AttemptKind, std::uint32_t>;
/// A timer, numbered by the scheduler that sets it.
using TimerId = Id<struct TimerKind, std::uint32_t>;

/// The shard of an object that no node holds yet.
inline constexpr ShardId no_shard{-1};

/// The key of a request that has none.
inline constexpr KeyId no_key{0};

} // namespace knotvane
