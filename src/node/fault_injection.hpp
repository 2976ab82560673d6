/// \file
/// Faults that a storage node is told to have, for tests and rehearsals.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "common/time.hpp"

namespace knotvane::node {

/// What goes wrong. In the order of `fault_kind_names`.
enum class FaultKind {
    go_silent, ///< Stops in the middle of an answer and sends nothing more on that connection.
    hang,      ///< Accepts requests and starts none; they are executed when the fault ends.
    slow,      ///< Execution takes `magnitude` times as long.
    reset_connection,   ///< Resets the connection on which a request comes.
    refuse_connections, ///< Accepts no connection and resets those that are open.
    reject_requests,    ///< Rejects requests as if the queue were full.
    fail_requests,      ///< Answers with an error; the request is not executed.
    truncate_answer,    ///< Closes the connection in the middle of an answer.
    corrupt_answer,     ///< One bit of an answer is flipped on the way.
    delay_answer,       ///< Answers leave `magnitude` seconds late.
    corrupt_block,      ///< One stored bit of the range is flipped before a read.
};

/// The kinds by the names that scenarios call them.
inline constexpr std::array<std::string_view, 11> fault_kind_names = {
    "mute", "hang", "slow", "reset", "refuse", "full", "fail", "cut", "garble", "late", "rot"};

/// @return nothing if no kind has this name.
std::optional<FaultKind> fault_kind_from_name(std::string_view name);

/// One fault, for a span of time.
struct FaultInjection {
    FaultKind kind = FaultKind::hang;
    Time from = 0;
    Time until = 0;
    /// How many requests or answers it meets; 0: all in its time.
    std::uint64_t count = 0;
    /// Of `slow` a factor, of `delay_answer` seconds.
    double magnitude = 0;
};

/// The faults that one node has been told to have.
class FaultInjector {
public:
    void inject(const FaultInjection &fault);

    /// Whether a fault of this kind is in force. Counts nothing.
    bool is_active(FaultKind kind, Time now) const;

    /// Applies the first fault of this kind that is in force to one request or answer.
    /// @return its magnitude; nothing if there is none.
    std::optional<double> apply(FaultKind kind, Time now);

    /// Forgets the faults that are over.
    void remove_ended(Time now);

    /// Whether a refusal of connections begins now. True once for each.
    bool begin_refusal(Time now);

    /// When a fault next begins or ends by itself; `never` if none does.
    Time next_due(bool has_queued) const;

private:
    struct Injected {
        FaultInjection fault;
        std::uint64_t left = 0; // of its count
        bool begun = false;     // of a refusal: open connections were reset

        bool is_used_up() const { return fault.count > 0 && left == 0; }
        bool is_active(FaultKind kind, Time now) const {
            return fault.kind == kind && now >= fault.from && now < fault.until && !is_used_up();
        }
    };

    std::vector<Injected> faults_;
};

} // namespace knotvane::node
