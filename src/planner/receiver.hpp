/// \file
/// Dispatches a session's messages to the parts of the planner's core. Internal to the core.
#pragma once

#include <string>

#include "planner/core.hpp"

namespace knotvane::planner {

/// The session's role decides which messages are accepted; any other message is recorded as the
/// session's error, for which the core closes the connection.
class Core::Receiver final : public control::MessageHandler {
public:
    Receiver(Core &core, Session &session) : core_(core), session_(session) {}

    using MessageHandler::handle;
    void handle(const control::EdgeHello &message) override;
    void handle(const control::LeaseRenewal &message) override;
    void handle(const control::FullStateRequest &message) override;
    void handle(const control::VolumeServed &message) override;
    void handle(const control::ReachabilityReport &message) override;
    void handle(const control::Superseded &message) override;
    void handle(const control::NodeHello &message) override;
    void handle(const control::NodeRenewal &message) override;
    void handle(const control::StatusRequest &message) override;
    void handle(const control::DrainRequest &message) override;
    void handle(const control::SnapshotRequest &message) override;
    void handle(const control::SnapshotStepReport &message) override;
    void handle(const control::DiffReport &message) override;

private:
    void handle_unexpected(std::string_view message) override;
    bool expect(Session::Role role, std::string_view message);
    bool expect_operator(std::string_view message);

    Core &core_;
    Session &session_;
};

} // namespace knotvane::planner
