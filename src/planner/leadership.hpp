/// \file
/// Detects that edges follow another planner.
#pragma once

#include <string>

#include "planner/context.hpp"

namespace knotvane::planner {

/// Guards against two planners that both grant quota shares. If the store was replaced by an old
/// copy, or a second planner is running, the term, instance or version that edges report is not
/// this planner's. This planner then retires permanently.
class Leadership {
public:
    explicit Leadership(PlannerContext &context) : context_(context) {}

    /// Compares the planner that an edge follows with this one.
    /// \return false if this planner retired because of it
    bool check(const control::EdgeHello &hello);

    /// Handles a report of a term above this planner's, or of another instance with the same term.
    /// \param who  the peer that reported it, for the log
    /// \return true if this planner continues, with a term above the reported one
    bool observe_other_planner(Term term, const std::string &who);

private:
    void retire(const std::string &why);

    PlannerContext &context_;
};

} // namespace knotvane::planner
