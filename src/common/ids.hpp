/// \file
/// Ids as distinct types: an id of one kind doesn't convert to an id of another.
#pragma once

#include <compare>
#include <cstdint>

namespace knotvane {

/// A strongly typed integer id.
/// @tparam Kind a tag type that tells the kinds of ids apart; it may be incomplete.
/// @tparam Representation the integer type that the id is stored as.
template <class Kind, class Representation>
struct Id {
    Representation value{};

    constexpr Id() = default;
    constexpr explicit Id(Representation initial) : value(initial) {}

    auto operator<=>(const Id &) const = default;
};

/// A client's request; numbered within one scheduler, in the order of receipt.
using RequestId = Id<struct RequestKind, std::uint64_t>;
/// The ordering key of a request: requests of an ordered workload that have the same key run one at
/// a time, in the order of receipt.
using KeyId = Id<struct KeyKind, std::uint64_t>;
using VolumeId = Id<struct VolumeKind, std::uint64_t>;
using NodeId = Id<struct NodeKind, std::uint64_t>;
/// The part of a volume's data that one node at a time holds.
using ShardId = Id<struct ShardKind, std::int32_t>;
using ZoneId = Id<struct ZoneKind, std::uint32_t>;
/// A class of requests that have the same latency objective, value and idempotency.
using WorkloadId = Id<struct WorkloadKind, std::uint32_t>;
/// The rates, the limits and the price that a tenant has booked.
using PlanId = Id<struct PlanKind, std::uint32_t>;
/// One of the schedulers that share the nodes, numbered from 0.
using SchedulerId = Id<struct SchedulerKind, std::uint32_t>;
/// An attempt of one request, numbered from 0.
using AttemptId = Id<struct AttemptKind, std::uint32_t>;
/// A timer; its number is chosen by the scheduler that sets it.
using TimerId = Id<struct TimerKind, std::uint32_t>;

/// The shard of a new object, which no node holds yet.
inline constexpr ShardId no_shard{-1};

/// The key of a request that isn't ordered by a key.
inline constexpr KeyId no_key{0};

} // namespace knotvane
