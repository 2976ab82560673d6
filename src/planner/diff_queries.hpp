/// \file
/// Operators' questions about the ranges in which two volumes differ.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "planner/context.hpp"

namespace knotvane::planner {

/// Asks one or more nodes of each shard and puts their answers together.
class DiffQueries {
public:
    explicit DiffQueries(PlannerContext &context) : context_(context) {}

    /// \param session  of the operator, who gets an OperationResult in any case
    /// \param nodes    connected, and at least one of each shard
    void ask(SessionId session, VolumeId first, VolumeId second, const std::set<NodeId> &nodes);
    void handle_report(NodeId node, const control::DiffReport &report);

    /// Ends questions that a node did not answer in time.
    void expire();

    /// The maximum of Time where nothing is asked.
    Time next_due() const;

private:
    struct Query {
        SessionId session;
        VolumeId first;
        VolumeId second;
        std::set<NodeId> waits_for;
        std::map<std::uint64_t, std::uint64_t> ranges; // lengths by offset
        Time deadline = 0;
    };

    void send_request(NodeId node, std::uint64_t number, const Query &query,
                      std::uint64_t from_offset);
    void finish(std::uint64_t number, const std::string &error);

    PlannerContext &context_;
    std::map<std::uint64_t, Query> queries_;
    std::uint64_t last_id_ = 0;
};

} // namespace knotvane::planner
