#include "planner/receiver.hpp"

#include "control/encode.hpp"

namespace knotvane::planner {

using Role = Session::Role;

bool Core::Receiver::expect(Role role, std::string_view message) {
    if (session_.role == role)
        return true;
    handle_unexpected(message);
    return false;
}

// A peer whose role is unknown becomes an operator's client with its first request.
bool Core::Receiver::expect_operator(std::string_view message) {
    if (session_.role == Role::unknown)
        session_.role = Role::operator_client;
    return expect(Role::operator_client, message);
}

void Core::Receiver::handle_unexpected(std::string_view message) {
    if (session_.error.empty())
        session_.error = std::string(message) + " is not expected from this peer";
}

void Core::Receiver::handle(const control::EdgeHello &message) {
    if (expect(Role::unknown, "a second hello"))
        core_.edge_hello(session_, message);
}

void Core::Receiver::handle(const control::LeaseRenewal &message) {
    if (expect(Role::edge, "a lease renewal"))
        core_.lease_renewal(session_, message);
}

void Core::Receiver::handle(const control::FullStateRequest &) {
    if (!expect(Role::edge, "a full state request"))
        return;
    session_.edge_view.acknowledged = Version{0};
    session_.edge_view.sent = Version{0};
    session_.edge_view.in_flight = false;
}

void Core::Receiver::handle(const control::VolumeServed &message) {
    if (expect(Role::edge, "a volume served"))
        core_.quotas_.volume_served(session_.edge, message);
}

void Core::Receiver::handle(const control::ReachabilityReport &message) {
    if (expect(Role::edge, "a reachability report"))
        core_.nodes_.reachability_reported(session_.edge, message);
}

void Core::Receiver::handle(const control::Superseded &message) {
    if (expect(Role::edge, "another planner's term"))
        core_.leadership_.observe_other_planner(message.term, "edge " + text(session_.edge));
}

void Core::Receiver::handle(const control::NodeHello &message) {
    if (expect(Role::unknown, "a second hello"))
        core_.node_hello(session_, message);
}

void Core::Receiver::handle(const control::NodeRenewal &) {
    if (expect(Role::node, "a node's renewal"))
        core_.nodes_.renewed(session_.node);
}

void Core::Receiver::handle(const control::StatusRequest &) {
    if (expect_operator("a status request"))
        core_.context_.transport.send(
            session_.id, control::encode(control::Status{core_.status_json(core_.context_.now)}));
}

void Core::Receiver::handle(const control::DrainRequest &message) {
    if (expect_operator("a drain request"))
        core_.nodes_.drain(session_.id, message);
}

void Core::Receiver::handle(const control::SnapshotRequest &message) {
    if (expect_operator("a snapshot request"))
        core_.snapshots_.request(session_.id, message);
}

void Core::Receiver::handle(const control::SnapshotStepReport &message) {
    if (session_.role == Role::edge)
        core_.snapshots_.handle_edge_step(session_.edge, message);
    else if (expect(Role::node, "a step of a snapshot"))
        core_.snapshots_.handle_node_step(session_.node, message);
}

void Core::Receiver::handle(const control::DiffReport &message) {
    if (expect(Role::node, "a diff report"))
        core_.snapshots_.handle_diff_report(session_.node, message);
}

} // namespace knotvane::planner
