#include "edge/attempt_tracker.hpp"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

namespace knotvane::edge {
namespace {

std::uint32_t read_little_endian(std::string_view bytes, std::size_t offset) {
    std::uint32_t value = 0;
    for (std::size_t i = sizeof value; i-- > 0;)
        value = value << 8 | static_cast<unsigned char>(bytes[offset + i]);
    return value;
}

/// Parses a node's answer to a block status request: pairs of length and flags.
std::vector<nbd::BlockStatusExtent> parse_extents(std::string_view payload) {
    constexpr std::size_t extent_bytes = 2 * sizeof(std::uint32_t);
    std::vector<nbd::BlockStatusExtent> extents;
    for (std::size_t offset = 0; offset + extent_bytes <= payload.size(); offset += extent_bytes)
        extents.push_back({read_little_endian(payload, offset),
                           read_little_endian(payload, offset + sizeof(std::uint32_t))});
    return extents;
}

} // namespace

AttemptTracker::AttemptTracker(EdgeState &state, RequestTable &requests, RequestSplitter &splitter,
                               std::uint64_t edge_id)
    : state_(state), requests_(requests), splitter_(splitter), edge_id_(edge_id) {
    set_node_connections({});
}

void AttemptTracker::set_node_connections(const NodeConnectionConfig &config) {
    connections_ =
        std::make_unique<NodeConnections>(state_.shell, static_cast<NodeConnectionEvents &>(*this),
                                          edge_id_, state_.incarnation, config);
}

void AttemptTracker::attempt_completed(AttemptCompletion completion) {
    completions_.push_back(std::move(completion));
}

void AttemptTracker::log_event(std::string text) {
    state_.shell.log_event(std::move(text));
}

void AttemptTracker::run() {
    while (true) {
        while (auto action = state_.scheduler.actions().take())
            perform(*action);
        if (completions_.empty())
            return;
        auto completion = std::move(completions_.front());
        completions_.pop_front();
        handle(completion);
    }
}

void AttemptTracker::perform(const PendingActions::Action &action) {
    switch (action.kind) {
    case PendingActions::Kind::start_attempt:
        return start_attempt(action);
    case PendingActions::Kind::cancel_attempt:
        return connections_->cancel_attempt(action.request, action.attempt);
    case PendingActions::Kind::reject:
    case PendingActions::Kind::fail:
        return reject_or_fail(action);
    }
}

void AttemptTracker::start_attempt(const PendingActions::Action &action) {
    auto &request = state_.scheduled.at(action.request);
    auto node = request.attempts[action.attempt.value].node;
    if (request.ended) { // another part of its client request ended it in the same moment
        completions_.push_back(
            {action.request, action.attempt, node, AttemptOutcome::not_sent, {}});
        return;
    }
    auto now = state_.clock.now;
    Time deadline = request.deadline;
    if (action.delay > 0)
        deadline = std::min(deadline, now + action.delay);
    if (action.attempt == AttemptId{0} && node_protocol::is_mutation(request.node_request->kind)) {
        // All attempts share one time limit: after it no node executes any of them, and until then
        // the node remembers the idempotency key. A late copy is therefore always rejected, either
        // as expired or as a repeat.
        request.node_request->not_after = request.deduplication_window > 0
                                              ? now + request.deduplication_window
                                              : request.deadline;
    }
    connections_->start_attempt(
        now, {action.request, action.attempt, node, request.node_request, deadline});
}

void AttemptTracker::reject_or_fail(const PendingActions::Action &action) {
    auto *request = state_.scheduled.find(action.request);
    if (!request || request->ended)
        return; // it was withdrawn in the same moment
    auto id = request->client_request;
    bool reject =
        action.kind == PendingActions::Kind::reject && may_reject(requests_.at(id), action.request);
    auto offset = request->node_request->offset;
    requests_.end_scheduled(action.request);
    if (!reject)
        return requests_.fail(id, nbd::e_io, "errored: it may have been done or not", offset);
    auto retry_after_ms = (action.delay + ms - 1) / ms;
    requests_.fail(id, nbd::e_nomem,
                   "denied: nothing was done; try again after " + std::to_string(retry_after_ms) +
                       " ms",
                   offset);
}

// A rejection tells the client that it is safe to retry the whole client request. That does not
// hold for a change of which another part was executed or may have been.
bool AttemptTracker::may_reject(const ClientRequest &client_request, RequestId rejected) {
    if (!is_change(client_request.command))
        return true;
    if (client_request.has_executed_part)
        return false;
    return std::all_of(client_request.pending.begin(), client_request.pending.end(), [&](auto id) {
        return id == rejected || state_.scheduled.at(id).attempts.empty();
    });
}

void AttemptTracker::handle(const AttemptCompletion &completion) {
    auto *request = state_.scheduled.find(completion.request);
    if (!request)
        return;
    --request->attempts_in_flight;
    auto now = state_.clock.now;
    bool answered = completion.outcome == AttemptOutcome::answered;
    Time duration = now - request->attempts[completion.attempt.value].started_at;
    state_.shell.attempt_completed(completion.request, completion.node, completion.outcome,
                                   duration);
    bool had_ended = request->ended;
    std::optional<Refusal> refusal;
    if (!had_ended)
        refusal = find_refusal(*request, completion);

    // The scheduler is notified of the outcome before the answer is sent, because the answer may
    // cause the client's next request.
    bool client_answered = had_ended || answered || refusal;
    state_.scheduler.notify().attempt_completed(now, {completion.request, completion.attempt,
                                                      completion.node, completion.outcome, duration,
                                                      client_answered});

    if (refusal) {
        auto id = request->client_request;
        auto offset = request->node_request->offset;
        requests_.end_scheduled(completion.request);
        requests_.fail(id, refusal->error, refusal->message, offset);
    } else if (answered && !had_ended) {
        complete_request(completion);
    } else if (answered && node_protocol::is_mutation(request->node_request->kind)) {
        // The write was executed although its client has already received an error: a later flush
        // must still cover it.
        const auto &written = *request->node_request;
        state_.volumes.at(written.volume)
            .unflushed.write_answered(written.shard, completion.answer.store_incarnation);
    }
    state_.scheduled.erase_if_done(completion.request);
}

std::optional<AttemptTracker::Refusal>
AttemptTracker::find_refusal(const ScheduledRequest &request, const AttemptCompletion &completion) {
    auto status = completion.answer.status;
    if (status == node_protocol::Status::no_space)
        return Refusal{nbd::e_nospc, "errored: no space is left at its storage node"};
    if (status == node_protocol::Status::stale_epoch && !moves_to_new_epoch(request, completion))
        return Refusal{
            nbd::e_io,
            "errored: a snapshot was taken in the middle of it; a part may have been done"};
    return std::nullopt;
}

// Handles the answer that a store has already taken a snapshot which does not contain this change,
// although the change began in the old epoch. Returns true if the change may continue in the
// current epoch: that is safe for a change of one part, and for one of which no other part was
// sent, as it then is in the snapshot as a whole or not at all.
bool AttemptTracker::moves_to_new_epoch(const ScheduledRequest &request,
                                        const AttemptCompletion &completion) {
    auto volume = request.node_request->volume;
    state_.snapshots.learn_epoch(volume, completion.answer.epoch);
    splitter_.start_released_changes();
    auto *client_request = requests_.find(request.client_request);
    if (!client_request)
        return false;
    for (auto other : client_request->pending)
        if (other != completion.request && !state_.scheduled.at(other).attempts.empty())
            return false;
    if (client_request->has_executed_part)
        return false;
    auto epoch = state_.snapshots.epoch(volume);
    if (epoch <= client_request->epoch)
        return true; // the change has already moved to this epoch
    auto old_epoch = std::exchange(client_request->epoch, epoch);
    state_.snapshots.change_started(volume);
    state_.snapshots.change_ended(volume, old_epoch);
    for (auto part : client_request->pending)
        state_.scheduled.at(part).node_request->epoch = epoch;
    return true;
}

void AttemptTracker::complete_request(const AttemptCompletion &completion) {
    const auto &request = state_.scheduled.at(completion.request);
    auto id = request.client_request;
    reply_part(request, completion.answer);
    requests_.end_scheduled(completion.request);
    reply_if_complete(id);
}

void AttemptTracker::reply_part(const ScheduledRequest &request, const NodeAnswer &answer) {
    auto *client_request = requests_.find(request.client_request);
    if (!client_request)
        return;
    auto &session = *client_request->session;
    const auto &node_request = *request.node_request;
    auto &unflushed = session.volume()->unflushed;
    client_request->has_executed_part = true;
    switch (client_request->command) {
    case Command::read:
        session.nbd().reply_data(client_request->cookie, node_request.offset, answer.payload);
        break;
    case Command::write:
    case Command::zero:
        unflushed.write_answered(node_request.shard, answer.store_incarnation);
        break;
    case Command::flush:
        unflushed.flush_answered(node_request.shard, answer.store_incarnation,
                                 client_request->flush_mark);
        break;
    case Command::status:
        return reply_block_status(request.client_request, answer);
    }
    state_.clients_to_flush.insert(session.id());
}

void AttemptTracker::reply_block_status(ClientRequestId id, const NodeAnswer &answer) {
    auto &session = *requests_.at(id).session;
    auto cookie = requests_.at(id).cookie;
    auto extents = parse_extents(answer.payload);
    requests_.close(id);
    if (extents.empty())
        return session.nbd().reply_error(cookie, nbd::e_io,
                                         "errored: the node told nothing of the range");
    session.nbd().reply_block_status(cookie, extents);
}

void AttemptTracker::reply_if_complete(ClientRequestId id) {
    auto *client_request = requests_.find(id);
    if (!client_request || !client_request->pending.empty())
        return;
    auto &session = *client_request->session;
    auto cookie = client_request->cookie;
    bool is_flush = client_request->command == Command::flush;
    requests_.close(id);
    if (is_flush)
        session.reply_flushed(cookie);
    else
        session.nbd().reply_done(cookie);
}

} // namespace knotvane::edge
