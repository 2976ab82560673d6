/// \file
/// Whether this planner is the one that edges follow.
#pragma once

#include <string>

#include "planner/context.hpp"

namespace knotvane::planner {

/// Guards against two planners that both give out quota shares: a store that was copied back, or a
/// second planner beside this one, shows in what edges say that they follow. This planner then
/// stops for good.
class Leadership {
public:
    explicit Leadership(PlannerContext &context) : context_(context) {}

    /// Looks at what an edge follows.
    /// \return false where this planner stopped for it
    bool check(const control::EdgeHello &hello);

    /// A term above this planner's, or another instance under it, was met.
    /// \param who  says so, for the log
    /// \return true where this planner goes on, above that term
    bool observe_other_planner(Term term, const std::string &who);

private:
    void retire(const std::string &why);

    PlannerContext &context_;
};

} // namespace knotvane::planner
