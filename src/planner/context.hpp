/// \file
/// The state that the parts of the planner's core share.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "planner/desired_state.hpp"
#include "planner/session.hpp"
#include "planner/state_store.hpp"
#include "planner/transport.hpp"
#include "planner/versioned_state.hpp"

namespace knotvane::planner {

/// Owned by the core and lives as long; each part holds a reference. Only durable state is sent:
/// parts change `state` and the store's rows and set `commit_due`; when the moment settles, the
/// core commits and then sends.
struct PlannerContext {
    PlannerContext(PlannerTransport &planner_transport, StateStore &state_store)
        : transport(planner_transport), store(state_store) {}

    /// The current position, to be committed with the store's rows.
    StorePosition position() const {
        return {term, lineage, state.version(), state.oldest_sendable_version(), desired.version};
    }

    PlannerTransport &transport;
    StateStore &store;
    VersionedState state;
    DesiredState desired;
    SessionTable sessions;
    Term term;
    std::uint64_t instance = 0;
    std::uint64_t lineage = 0;
    Time now = 0;
    /// The store was lost and rebuilt: quota shares granted by an earlier planner may still be in
    /// use.
    bool recovering = false;
    /// Edges follow another planner; this one does nothing more.
    bool retired = false;
    bool commit_due = false;
    std::vector<std::pair<SessionId, std::string>> replies_after_commit;
};

/// An id as text, for the log.
inline std::string text(auto id) {
    return std::to_string(id.value);
}

} // namespace knotvane::planner
