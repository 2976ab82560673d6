/// \file
/// Executes the scheduler's actions and reports the outcomes of attempts to it and to the clients.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "edge/edge_state.hpp"
#include "edge/node_connections.hpp"
#include "edge/request_splitter.hpp"
#include "edge/request_table.hpp"

namespace knotvane::edge {

/// Starts and cancels attempts as the scheduler decides, and turns their outcomes into replies.
class AttemptTracker final : NodeConnectionEvents {
public:
    /// @param state, requests and splitter must outlive this.
    /// @param edge_id identifies this edge to the nodes.
    AttemptTracker(EdgeState &state, RequestTable &requests, RequestSplitter &splitter,
                   std::uint64_t edge_id);

    /// Replaces the connection settings. Call before the first event.
    void set_node_connections(const NodeConnectionConfig &config);
    NodeConnections &connections() { return *connections_; }
    const NodeConnections &connections() const { return *connections_; }

    /// Whether a completed attempt has not been handled yet.
    bool has_completions() const { return !completions_.empty(); }
    /// Executes all pending actions and handles all completed attempts, until none are left.
    void run();

private:
    /// A node's final refusal of a change: it was not executed, and another attempt would get the
    /// same answer.
    struct Refusal {
        nbd::ErrorCode error;
        const char *message;
    };

    void attempt_completed(AttemptCompletion completion) override;
    void log_event(std::string text) override;

    void perform(const PendingActions::Action &action);
    void start_attempt(const PendingActions::Action &action);
    void reject_or_fail(const PendingActions::Action &action);
    bool may_reject(const ClientRequest &client_request, RequestId rejected);

    void handle(const AttemptCompletion &completion);
    std::optional<Refusal> find_refusal(const ScheduledRequest &request,
                                        const AttemptCompletion &completion);
    bool moves_to_new_epoch(const ScheduledRequest &request, const AttemptCompletion &completion);
    void complete_request(const AttemptCompletion &completion);
    void reply_part(const ScheduledRequest &request, const NodeAnswer &answer);
    void reply_block_status(ClientRequestId id, const NodeAnswer &answer);
    void reply_if_complete(ClientRequestId id);

    EdgeState &state_;
    RequestTable &requests_;
    RequestSplitter &splitter_;
    std::uint64_t edge_id_;
    std::unique_ptr<NodeConnections> connections_;
    std::deque<AttemptCompletion> completions_;
};

} // namespace knotvane::edge
