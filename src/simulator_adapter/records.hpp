/// \file
/// The records of the simulator's wire and their fields, in the code's terms.
///
/// A frame is its length in bytes (u32, this field included), the clock in seconds (f64, in input
/// frames only) and records. A record is a code (u16), the length of its fields (u32) and the
/// fields. Numbers are little-endian; times are f64 seconds, clock readings unless a comment says a
/// span; an address is 4 bytes and a port (u16); bytes and lists come after their length. Trailing
/// fields may be absent and are zero then.
#pragma once

#include <cstddef>
#include <cstdint>

namespace knotvane::simulator_adapter {

/// Records that the adapter receives. All but endpoint_list and target_instance are events of the
/// instance that was named last. Codes outside of these are skipped.
enum class InputRecord : std::uint16_t {
    /// seed u64, settings (u32 length) as lines "path=value". Starts a new scheduler.
    start = 256,
    /// kind u8 (EndpointUpdateKind), version u64, list number u16.
    endpoint_update = 257,
    /// request u64, flags u8 (request_flag), workload u16, sharers of the volume's limit f32,
    /// volume u64, shard f32 (-1 for none), key u64, plan u32, client timeout, units f32.
    request_received = 258,
    /// An answer's stream begins; not used, as no workload streams.
    stream_started = 259,
    /// request u64, attempt u8, node address, outcome u16, duration as a span, client answered u8,
    /// volume use u16, units through other schedulers u16, load report.
    attempt_completed = 260,
    /// request u64. The client disconnected.
    request_canceled = 261,
    /// timer u32.
    timer_expired = 262,
    /// node address, result u16, duration as a span, load report. Not used: no check is started.
    health_check_completed = 263,
    /// sender u16, text (u16 length). Not used.
    peer_message = 264,
    /// No fields. The scheduler's process ended.
    kill = 265,
    /// list number u16, entries (u32 count), each of endpoint_entry_bytes. Belongs to no instance.
    endpoint_list = 266,
    /// instance u32. What follows, up to the next one, is for this instance.
    target_instance = 267,
};

/// Records that the adapter sends.
enum class OutputRecord : std::uint16_t {
    /// text (u16 length). A scheduler failed; ends the run.
    fault = 256,
    /// instance u32. What follows, up to the next one, is of this instance.
    instance = 257,
    /// timer u32, delay as a span.
    set_timer = 260,
    /// request u64, node address, timeout as a span (0: the request's).
    start_attempt = 261,
    /// request u64.
    fail = 263,
    /// request u64, attempt u8.
    cancel_attempt = 264,
    /// on u8.
    watch_endpoints = 265,
    /// request u64, retry-after as a span (0: untold).
    reject = 268,
};

/// What an endpoint_update says of the list that it names.
enum class EndpointUpdateKind : std::uint8_t {
    cached = 0, ///< The whole list, as last had.
    failed = 1, ///< The list could not be had; none is named.
    full = 2,   ///< The whole list.
    delta = 3,  ///< The endpoints that changed.
};

/// Bits of a request_received's flags.
namespace request_flag {
inline constexpr std::uint8_t repeated = 2;
inline constexpr std::uint8_t writes = 4;
} // namespace request_flag

/// An entry of an endpoint_list: shard u16, node address, zone u8, state u8 (NodeState), weight
/// f32, start time, machine type u16.
inline constexpr std::size_t endpoint_entry_bytes = 24;

/// Lists are numbered from 0; a number is used again for a later list.
inline constexpr std::size_t endpoint_list_count = 16;

} // namespace knotvane::simulator_adapter
