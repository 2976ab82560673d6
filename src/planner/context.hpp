/// \file
/// What the parts of the planner's core share.
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

/// Lives as long as the core; each part holds a reference. Nothing is told that is not durable:
/// parts change `state` and the store's rows, set `commit_due`, and the core commits and tells at
/// the end of the moment.
struct PlannerContext {
    PlannerContext(PlannerTransport &planner_transport, StateStore &state_store)
        : transport(planner_transport), store(state_store) {}

    /// Where the planner stands now, for the store.
    StorePosition position() const {
        return {term, lineage, state.version(), state.oldest_sent(), desired.version};
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
    /// The store was lost and made anew: what an earlier planner gave out may still be in use.
    bool recovering = false;
    /// Another planner is followed; this one does nothing more.
    bool retired = false;
    bool commit_due = false;
    std::vector<std::pair<SessionId, std::string>> replies_after_commit;
};

/// An id as text, for the log.
inline std::string text(auto id) {
    return std::to_string(id.value);
}

} // namespace knotvane::planner
