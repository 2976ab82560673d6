/// \file
/// Carries out the scheduler's actions and tells it and the clients what became of attempts.
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

class AttemptTracker final : NodeConnectionEvents {
public:
    /// @param state, requests and splitter must outlive this.
    /// @param edge_id is what nodes are told of this edge.
    AttemptTracker(EdgeState &state, RequestTable &requests, RequestSplitter &splitter,
                   std::uint64_t edge_id);

    /// Call before the first event.
    void set_node_connections(const NodeConnectionConfig &config);
    NodeConnections &connections() { return *connections_; }
    const NodeConnections &connections() const { return *connections_; }

    /// A completed attempt has not been looked at.
    bool has_completions() const { return !completions_.empty(); }
    /// Carries out all actions and looks at all completed attempts, until there are no more.
    void run();

private:
    /// A node's final word on a change that was not executed, and of which another attempt would
    /// hear the same.
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
