#include "planner/update_sender.hpp"

#include <algorithm>
#include <limits>

#include "control/encode.hpp"

namespace knotvane::planner {
namespace {

// An update that is not acknowledged within this time counts as lost. Well above a round trip
// between sites.
constexpr Time acknowledgement_timeout = sec;
// Updates larger than this count as long, and at most max_long_updates of them may be
// unacknowledged at once. This limits the send buffers when all edges request the full state at the
// same time.
constexpr std::size_t long_update_bytes = 64 << 10;
constexpr std::size_t max_long_updates = 8;

} // namespace

bool UpdateSender::waits_for_acknowledgement(const Session &session) const {
    const auto &view = session.edge_view;
    return view.in_flight && context_.now - view.sent_at < acknowledgement_timeout;
}

void UpdateSender::send() {
    std::size_t long_updates = 0;
    for (const auto &[id, session] : context_.sessions.all)
        long_updates += session.edge_view.is_long && waits_for_acknowledgement(session);
    for (auto &[id, session] : context_.sessions.all) {
        if (session.closed)
            continue;
        if (session.role == Session::Role::node)
            send_node_state(session);
        if (session.role == Session::Role::edge)
            send_update(session, long_updates);
    }
}

void UpdateSender::send_node_state(Session &session) {
    const auto &nodes = context_.state.cluster_state().nodes;
    auto it = nodes.find(session.node);
    if (it == nodes.end() || session.state_sent == it->second.state)
        return;
    session.state_sent = it->second.state;
    context_.transport.send(session.id,
                            control::encode(control::NodeStateNotice{it->second.state}));
}

void UpdateSender::send_update(Session &session, std::size_t &long_updates) {
    auto &view = session.edge_view;
    if (waits_for_acknowledgement(session))
        return;
    const auto &state = context_.state;
    const bool behind = view.acknowledged < state.version() || view.term != context_.term ||
                        view.lineage != context_.lineage;
    if (!behind)
        return;
    auto from = view.lineage == context_.lineage ? view.acknowledged : Version{0};
    std::string entries;
    const auto count = state.append_update_since(session.edge, from, entries);
    view.is_long = entries.size() > long_update_bytes;
    if (view.is_long && long_updates >= max_long_updates)
        return;
    long_updates += view.is_long;
    view.in_flight = true;
    view.sent = state.version();
    view.sent_at = context_.now;
    const control::UpdateBegin begin{
        context_.term, context_.instance, context_.lineage, state.version(), from, context_.now};
    context_.transport.send(session.id,
                            control::encode(begin) + entries +
                                control::encode(control::UpdateEnd{state.version(), count}));
}

Time UpdateSender::next_due() const {
    Time due = std::numeric_limits<Time>::max();
    for (const auto &[id, session] : context_.sessions.all)
        if (session.role == Session::Role::edge && session.edge_view.in_flight)
            due = std::min(due, session.edge_view.sent_at + acknowledgement_timeout);
    return due;
}

} // namespace knotvane::planner
