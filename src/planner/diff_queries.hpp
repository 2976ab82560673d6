/// \file
/// Operators' queries for the ranges in which two volumes differ.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "planner/context.hpp"

namespace knotvane::planner {

/// Asks one or more nodes of each shard and merges their answers.
class DiffQueries {
public:
    explicit DiffQueries(PlannerContext &context) : context_(context) {}

    /// Starts a query.
    /// \param session  the operator's, which gets an OperationResult in any case
    /// \param nodes    connected nodes, at least one of each shard
    void start(SessionId session, VolumeId first, VolumeId second, const std::set<NodeId> &nodes);
    void handle_report(NodeId node, const control::DiffReport &report);

    /// Fails the queries that a node did not answer in time.
    void expire();

    /// When `expire` is to be called next; the maximum of Time if no query is pending.
    Time next_due() const;

private:
    struct Query {
        SessionId session;
        VolumeId first;
        VolumeId second;
        std::set<NodeId> awaited_nodes;
        std::map<std::uint64_t, std::uint64_t> ranges; // lengths by offset
        Time deadline = 0;
    };

    void send_request(NodeId node, std::uint64_t query_id, const Query &query,
                      std::uint64_t from_offset);
    void finish(std::uint64_t query_id, const std::string &error);

    PlannerContext &context_;
    std::map<std::uint64_t, Query> queries_;
    std::uint64_t last_id_ = 0;
};

} // namespace knotvane::planner
