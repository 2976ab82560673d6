/// \file
/// Faults that are injected into a storage node, for tests and fault drills.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "common/time.hpp"

namespace knotvane::node {

/// What the fault does. The values are in the order of `fault_kind_names`.
enum class FaultKind {
    go_silent,          ///< Sends half of an answer and then nothing more on that connection.
    hang,               ///< Queues requests and starts none; they are executed when the fault ends.
    slow,               ///< Execution takes `magnitude` times as long.
    reset_connection,   ///< Resets the connection on which a request arrives.
    refuse_connections, ///< Resets the open connections and every new one.
    reject_requests,    ///< Rejects requests as if the queue were full.
    fail_requests,      ///< Answers with an error; the request is not executed.
    truncate_answer,    ///< Sends half of an answer and closes the connection.
    corrupt_answer,     ///< Flips one bit of an answer before it is sent.
    delay_answer,       ///< Sends answers `magnitude` seconds late.
    corrupt_block,      ///< Flips one stored bit of the range before a read.
};

/// The names of the fault kinds in scenario files.
inline constexpr std::array<std::string_view, 11> fault_kind_names = {
    "mute", "hang", "slow", "reset", "refuse", "full", "fail", "cut", "garble", "late", "rot"};

/// @return the fault kind of this name; nothing if there is none.
std::optional<FaultKind> fault_kind_from_name(std::string_view name);

/// One fault, in force from `from` (inclusive) until `until` (exclusive).
struct FaultInjection {
    FaultKind kind = FaultKind::hang;
    Time from = 0;
    Time until = 0;
    /// Number of requests or answers it affects; 0: all while it is in force.
    std::uint64_t count = 0;
    /// For `slow` a factor, for `delay_answer` seconds; unused by the other kinds.
    double magnitude = 0;
};

/// The faults injected into one node.
class FaultInjector {
public:
    void inject(const FaultInjection &fault);

    /// Whether a fault of this kind is in force. Does not use up its count.
    bool is_active(FaultKind kind, Time now) const;

    /// Applies the first fault of this kind that is in force to one request or answer, and
    /// decrements its remaining count.
    /// @return its magnitude; nothing if there is none.
    std::optional<double> apply(FaultKind kind, Time now);

    /// Removes the faults whose time has ended or whose count is used up.
    void remove_ended(Time now);

    /// Whether a `refuse_connections` fault has just begun. True once for each such fault.
    bool begin_refusal(Time now);

    /// The next time at which the node has to act on a fault's begin or end; the maximum of Time if
    /// there is none.
    /// @param has_queued whether requests wait for a `hang` to end.
    Time next_due(bool has_queued) const;

private:
    struct Injected {
        FaultInjection fault;
        std::uint64_t remaining = 0; // requests or answers it still affects, if `count` > 0
        bool begun = false;          // for refuse_connections: open connections were reset

        bool is_used_up() const { return fault.count > 0 && remaining == 0; }
        bool is_active(FaultKind kind, Time now) const {
            return fault.kind == kind && now >= fault.from && now < fault.until && !is_used_up();
        }
    };

    std::vector<Injected> faults_;
};

} // namespace knotvane::node
