#include "planner/leadership.hpp"

#include <utility>

namespace knotvane::planner {

bool Leadership::check(const control::EdgeHello &hello) {
    const auto who = "edge " + text(hello.edge);
    const bool other = hello.term > context_.term ||
                       (hello.term == context_.term && hello.instance != context_.instance);
    if (other && !observe_other_planner(hello.term, who))
        return false;
    if (hello.lineage == context_.lineage && hello.version > context_.state.version()) {
        retire(who + " has version " + text(hello.version) +
               " of this store's state, but the store is at version " +
               text(context_.state.version()) +
               ": the store is an old copy; start with the current store or use --rebuild");
        return false;
    }
    return true;
}

bool Leadership::observe_other_planner(Term term, const std::string &who) {
    if (!context_.recovering || term < context_.term) {
        retire(who + " follows another planner with term " + text(term));
        return false;
    }
    // A rebuilt store has no record of earlier terms, so the planner moves above each one reported.
    context_.term = Term{term.value + 1};
    context_.commit_due = true;
    for (auto &[id, session] : context_.sessions.all)
        session.edge_view.in_flight = false;
    context_.transport.log_event(who + " follows term " + text(term) + ": continuing with term " +
                                 text(context_.term));
    return true;
}

void Leadership::retire(const std::string &why) {
    if (std::exchange(context_.retired, true))
        return;
    context_.transport.log_event("this planner (term " + text(context_.term) +
                                 ") retires and stops planning: " + why);
    context_.transport.retired();
}

} // namespace knotvane::planner
