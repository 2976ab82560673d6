/// \file
/// The records of the simulator's wire protocol and their fields, under this project's names.
///
/// A frame consists of its length in bytes (u32, which includes this field), the clock in seconds
/// (f64, only in input frames) and records. A record consists of a code (u16), the length of its
/// fields (u32) and the fields. Numbers are little-endian. Times are f64 seconds: points on the
/// clock, unless a comment says "span". An address is 4 bytes of IPv4 address and a port (u16).
/// Texts and lists are preceded by their length. Trailing fields may be absent and are then zero.
#pragma once

#include <cstddef>
#include <cstdint>

namespace knotvane::simulator_adapter {

/// Records that the adapter receives. All but endpoint_list and target_instance are events for the
/// instance that the last target_instance named. Records with other codes are skipped.
enum class InputRecord : std::uint16_t {
    /// seed u64, settings (u32 length) as lines "path=value". Starts a new scheduler.
    start = 256,
    /// kind u8 (EndpointUpdateKind), version u64, list number u16.
    endpoint_update = 257,
    /// request u64, flags u8 (request_flag), workload u16, sharers of the volume's limit f32,
    /// volume u64, shard f32 (-1 for none), key u64, plan u32, client timeout, units f32.
    request_received = 258,
    /// The stream of an answer begins. Not used, because no workload streams its answers.
    stream_started = 259,
    /// request u64, attempt u8, node address, outcome u16, duration as a span, client answered u8,
    /// volume use u16, units through other schedulers u16, load report.
    attempt_completed = 260,
    /// request u64. The client disconnected.
    request_canceled = 261,
    /// timer u32.
    timer_expired = 262,
    /// node address, result u16, duration as a span, load report. Not used, because the scheduler
    /// starts no health checks.
    health_check_completed = 263,
    /// sender u16, text (u16 length). Not used.
    peer_message = 264,
    /// No fields. The scheduler's process ended.
    kill = 265,
    /// list number u16, entries (u32 count), each of endpoint_entry_bytes. Belongs to no instance.
    endpoint_list = 266,
    /// instance u32. The records up to the next target_instance are for this instance.
    target_instance = 267,
};

/// Records that the adapter sends.
enum class OutputRecord : std::uint16_t {
    /// text (u16 length). A scheduler failed; the simulator ends the run.
    fault = 256,
    /// instance u32. The records up to the next instance record are actions of this instance.
    instance = 257,
    /// timer u32, delay as a span.
    set_timer = 260,
    /// request u64, node address, timeout as a span (0: that of the request).
    start_attempt = 261,
    /// request u64.
    fail = 263,
    /// request u64, attempt u8.
    cancel_attempt = 264,
    /// on u8.
    watch_endpoints = 265,
    /// request u64, retry-after as a span (0: none).
    reject = 268,
};

/// Meaning of the list that an endpoint_update names.
enum class EndpointUpdateKind : std::uint8_t {
    cached = 0, ///< The last complete list, from a cache.
    failed = 1, ///< The list could not be obtained; the record names none.
    full = 2,   ///< The complete list.
    delta = 3,  ///< Only the endpoints that changed.
};

/// Bits of a request_received's flags.
namespace request_flag {
inline constexpr std::uint8_t repeated = 2;
inline constexpr std::uint8_t writes = 4;
} // namespace request_flag

/// Size of an endpoint_list entry: shard u16, node address, zone u8, state u8 (NodeState), weight
/// f32, start time, machine type u16.
inline constexpr std::size_t endpoint_entry_bytes = 24;

/// Number of endpoint lists that can be referred to. List numbers start at 0; a later list may
/// reuse a number.
inline constexpr std::size_t endpoint_list_count = 16;

} // namespace knotvane::simulator_adapter
